package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// findExcess returns the first token that exceeds MaxDepth or MaxKeys and the reason,
// nil if there is none.
//
// The parser recurses once per level and once per key of a block mapping. A megabyte of
// "[" is a million levels and would overflow the stack, which ends the process and can't
// be recovered from; a mapping of 200,000 keys takes more than a minute. Both are
// therefore counted on the flat list of tokens first.
func findExcess(tokens token.Tokens) (*token.Token, string) {
	var n nesting
	for _, t := range tokens {
		n.add(t)
		if n.depth() > MaxDepth {
			return t, fmt.Sprintf("more than %d levels", MaxDepth)
		}
		if n.keys() > MaxKeys {
			return t, fmt.Sprintf("more than %d keys in one mapping", MaxKeys)
		}
	}
	return nil, ""
}

// nesting tracks the open levels while tokens are added. Flow counts open brackets;
// prefixes counts consecutive anchors and tags.
type nesting struct {
	blocks   []block
	flow     int
	prefixes int
}

// block is an open block mapping or sequence.
type block struct {
	column int
	keys   int
}

func (n *nesting) depth() int {
	return len(n.blocks) + n.flow + n.prefixes
}

func (n *nesting) keys() int {
	if len(n.blocks) == 0 {
		return 0
	}
	return n.blocks[len(n.blocks)-1].keys
}

func (n *nesting) add(t *token.Token) {
	switch t.Type {
	case token.AnchorType, token.TagType:
		n.prefixes++
		return
	case token.SequenceStartType, token.MappingStartType:
		n.flow++
	case token.SequenceEndType, token.MappingEndType:
		n.flow = max(n.flow-1, 0)
	case token.SequenceEntryType:
		n.open(t, 0)
	case token.MappingKeyType:
		n.open(t, 1)
	case token.MappingValueType:
		n.open(t.Prev, 1)
	}
	if t.PreviousType() != token.AnchorType {
		n.prefixes = 0
	}
}

// open closes the blocks to the right of t's column and opens one at the column, unless
// there is one.
func (n *nesting) open(t *token.Token, keys int) {
	if n.flow > 0 || t == nil || t.Position == nil {
		return
	}
	column := t.Position.Column
	for len(n.blocks) > 0 && n.blocks[len(n.blocks)-1].column > column {
		n.blocks = n.blocks[:len(n.blocks)-1]
	}
	if len(n.blocks) == 0 || n.blocks[len(n.blocks)-1].column < column {
		n.blocks = append(n.blocks, block{column: column})
	}
	n.blocks[len(n.blocks)-1].keys += keys
}

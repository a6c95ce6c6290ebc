package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// excess returns the first token that goes beyond MaxDepth or MaxKeys and the
// reason, and nil when there is none.
//
// The parser recurses once for a level and once for a key of a block mapping,
// and a megabyte of "[" is a million levels: the stack would outgrow its
// limit, which ends the process and can't be recovered from, and a mapping of
// 200,000 keys takes more than a minute. So both are counted on the flat list
// of tokens first.
func excess(tokens token.Tokens) (*token.Token, string) {
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

// nesting follows the open levels of a list of tokens. Flow counts open
// brackets; prefixes counts anchors and tags that stand in a row.
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

// open closes the blocks right of t and opens one at its column, unless it
// is open.
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

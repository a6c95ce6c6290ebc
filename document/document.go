// Package document reads strict YAML files and reports every problem with its
// position. The packages for the kinds of files define the fields; this package
// walks the file, rejects unknown, missing and duplicate fields, and bounds the
// cost of a hostile file.
//
// Usage:
//
//	err := document.Read("site.yaml", data, func(root document.Node) {
//		root.Map(
//			document.Required("name", document.Into(&site.Name, document.Name)),
//			document.Optional("timeout", document.Into(&site.Timeout, document.Duration)),
//		)
//	})
//
// Anchors and aliases are allowed, tags and merge keys are not. A file holds
// one document of at most MaxSize bytes and MaxDepth levels; aliases may
// expand it to MaxValues values.
package document

import (
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Bounds of a file.
const (
	MaxSize     = 1 << 20 // bytes
	MaxDepth    = 32      // nested levels
	MaxKeys     = 1000    // of one block mapping
	MaxValues   = 500_000 // values read, counting each use of an alias
	MaxProblems = 200     // problems listed; the rest are counted
)

// Read parses data and calls read with its root. It returns nil, or Problems with all
// problems found before or during the call.
func Read(file string, data []byte, read func(root Node)) error {
	r := &reader{file: file, anchors: map[string]*ast.AnchorNode{}, cyclic: map[*ast.AliasNode]bool{}}
	if root, ok := r.parse(data); ok {
		read(root)
	}
	return r.err()
}

type reader struct {
	file     string
	anchors  map[string]*ast.AnchorNode
	cyclic   map[*ast.AliasNode]bool // aliases within the value of their own anchor
	problems Problems
	dropped  int
	values   int
	stopped  bool // too many values: nothing else is read or reported
}

func (r *reader) parse(data []byte) (Node, bool) {
	start := Place{File: r.file, Line: 1, Column: 1}
	if len(data) > MaxSize {
		r.report(start, "file of %d bytes, limit %d", len(data), MaxSize)
		return Node{}, false
	}
	if !utf8.Valid(data) {
		r.report(start, "not UTF-8")
		return Node{}, false
	}
	file, ok := r.syntax(string(data))
	if !ok {
		return Node{}, false
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		r.report(start, "empty file")
		return Node{}, false
	}
	if len(file.Docs) > 1 {
		r.report(r.place(file.Docs[1].Start), "second document; a file holds one")
		return Node{}, false
	}
	body := file.Docs[0].Body
	ast.Walk(r, body)
	for name, anchor := range r.anchors {
		ast.Walk(&cycleFinder{reader: r, anchor: name}, anchor.Value)
	}
	return Node{reader: r, value: body, token: firstToken(body)}, true
}

// syntax returns the syntax tree of text.
//
// It recovers from a panic of the YAML library and reports it as a problem of the
// file; a daemon that reads a published manifest would otherwise crash at every
// start. No such panic is known in this version.
func (r *reader) syntax(text string) (file *ast.File, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			r.report(Place{File: r.file, Line: 1, Column: 1}, "not readable as YAML: %v", cause)
			file, ok = nil, false
		}
	}()
	tokens := lexer.Tokenize(text)
	if at, reason := findExcess(tokens); at != nil {
		r.report(r.place(at), "%s", reason)
		return nil, false
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err == nil {
		return file, true
	}
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		r.report(r.place(syntax.Token), "%s", syntax.Message)
		return nil, false
	}
	r.report(Place{File: r.file, Line: 1, Column: 1}, "%v", err)
	return nil, false
}

// Visit collects anchors, and reports tags and duplicate anchors. It implements
// ast.Visitor.
func (r *reader) Visit(node ast.Node) ast.Visitor {
	switch n := node.(type) {
	case *ast.TagNode:
		r.report(r.place(n.GetToken()), "tag %s; tags aren't supported", n.GetToken().Value)
	case *ast.AnchorNode:
		name := n.Name.GetToken()
		if _, ok := r.anchors[name.Value]; ok {
			r.report(r.place(name), "duplicate anchor %q", name.Value)
			break
		}
		r.anchors[name.Value] = n
	}
	return r
}

// cycleFinder reports the aliases of an anchor within the anchor's own value. It implements
// ast.Visitor.
type cycleFinder struct {
	reader *reader
	anchor string
}

// Visit checks a node of the anchor's value.
func (f *cycleFinder) Visit(node ast.Node) ast.Visitor {
	alias, ok := node.(*ast.AliasNode)
	if !ok {
		return f
	}
	if name := alias.Value.GetToken(); name.Value == f.anchor {
		f.reader.cyclic[alias] = true
		f.reader.report(f.reader.place(alias.GetToken()), "alias of anchor %q within its own value", f.anchor)
	}
	return f
}

// resolve follows anchors and aliases to a value, nil if there is none. An alias must
// come after its anchor and outside its value; MaxDepth bounds a chain of aliases.
func (r *reader) resolve(node ast.Node) ast.Node {
	for range MaxDepth {
		switch n := node.(type) {
		case *ast.AnchorNode:
			node = n.Value
		case *ast.TagNode:
			node = n.Value
		case *ast.AliasNode:
			if r.cyclic[n] {
				return nil
			}
			name := n.Value.GetToken()
			anchor, ok := r.anchors[name.Value]
			if !ok || anchor.GetToken().Position.Offset >= n.GetToken().Position.Offset {
				r.report(r.place(n.GetToken()), "alias of unknown anchor %q", name.Value)
				return nil
			}
			node = anchor.Value
		default:
			return node
		}
	}
	r.report(r.place(firstToken(node)), "more than %d aliases in a row", MaxDepth)
	return nil
}

// countValue counts a value to be read and reports whether the limit allows it.
func (r *reader) countValue(at *token.Token) bool {
	r.values++
	if r.values > MaxValues && !r.stopped {
		r.problems, r.dropped = nil, 0
		r.report(r.place(at), "more than %d values after aliases are expanded", MaxValues)
		r.stopped = true
	}
	return !r.stopped
}

func (r *reader) report(place Place, format string, args ...any) {
	if r.stopped {
		return
	}
	if len(r.problems) >= MaxProblems {
		r.dropped++
		return
	}
	r.problems = append(r.problems, Problem{Place: place, Reason: fmt.Sprintf(format, args...)})
}

func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	r.problems.Sort()
	r.problems = slices.Compact(r.problems)
	if r.dropped > 0 {
		last := r.problems[len(r.problems)-1].Place
		r.problems = append(r.problems, Problem{Place: last, Reason: fmt.Sprintf("%d further problems", r.dropped)})
	}
	return r.problems
}

func (r *reader) place(t *token.Token) Place {
	if t == nil || t.Position == nil {
		return Place{File: r.file, Line: 1, Column: 1}
	}
	return Place{File: r.file, Line: max(t.Position.Line, 1), Column: max(t.Position.Column, 1)}
}

// firstToken returns the first token of a value. The library returns the colon as the
// token of a block mapping, for which the first key is a better position.
func firstToken(node ast.Node) *token.Token {
	switch n := node.(type) {
	case nil:
		return nil
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		return n.Key.GetToken()
	}
	return node.GetToken()
}

package document

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Node is a value of a file and its position. The zero Node represents a missing value;
// reporting problems on it does nothing.
type Node struct {
	reader *reader
	value  ast.Node
	token  *token.Token
}

// Field is a key that a mapping may contain, and the function that reads its value.
type Field struct {
	Key      string
	Required bool
	Read     func(Node)
}

// Required returns a field that must be present.
func Required(key string, read func(Node)) Field {
	return Field{Key: key, Required: true, Read: read}
}

// Optional returns a field that may be absent.
func Optional(key string, read func(Node)) Field {
	return Field{Key: key, Read: read}
}

// Into returns a reader of a scalar that parses its text and stores the result in target.
func Into[T any](target *T, parse func(text string) (T, error)) func(Node) {
	return func(n Node) {
		text, ok := n.Text()
		if !ok {
			return
		}
		value, err := parse(text)
		if err != nil {
			n.Report("%v", err)
			return
		}
		*target = value
	}
}

// StoreNode returns a function that stores its node in target and calls read.
func StoreNode(target *Node, read func(Node)) func(Node) {
	return func(n Node) {
		*target = n
		read(n)
	}
}

// Report adds a problem at the node's position.
func (n Node) Report(format string, args ...any) {
	if n.reader != nil {
		n.reader.report(n.Place(), format, args...)
	}
}

// Valid reports whether no problem has been found in the file so far.
func (n Node) Valid() bool {
	return n.reader == nil || len(n.reader.problems) == 0
}

// Place returns the node's position in the file.
func (n Node) Place() Place {
	if n.reader == nil {
		return Place{}
	}
	return n.reader.place(n.token)
}

// Map reads a mapping that may hold the given fields and no others.
func (n Node) Map(fields ...Field) {
	seen := map[string]bool{}
	ok := n.Entries(func(key string, at, value Node) {
		i := slices.IndexFunc(fields, func(f Field) bool { return f.Key == key })
		if i < 0 {
			at.Report("unknown field %q, want one of %s", key, keys(fields))
			return
		}
		seen[key] = true
		fields[i].Read(value)
	})
	if !ok {
		return
	}
	for _, f := range fields {
		if f.Required && !seen[f.Key] {
			n.Report("missing field %q", f.Key)
		}
	}
}

// Entries reads a mapping with arbitrary keys, each passed with a node for the key's
// position, and reports whether the node is a mapping. A duplicate key is reported, and
// only its first value is read.
func (n Node) Entries(read func(key string, at, value Node)) bool {
	values, ok := n.mapping()
	if !ok {
		return false
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		keyToken := v.Key.GetToken()
		at := Node{reader: n.reader, value: v.Key, token: keyToken}
		if seen[keyToken.Value] {
			at.Report("duplicate key %q", keyToken.Value)
			continue
		}
		seen[keyToken.Value] = true
		read(keyToken.Value, at, n.child(v.Value, keyToken))
	}
	return true
}

// List reads a sequence of at most limit values.
func (n Node) List(limit int, read func(Node)) {
	value, ok := n.open()
	if !ok {
		return
	}
	list, ok := value.(*ast.SequenceNode)
	if !ok {
		n.Report("want a list")
		return
	}
	if len(list.Values) > limit {
		n.Report("list of %d, limit %d", len(list.Values), limit)
		return
	}
	for _, v := range list.Values {
		read(n.child(v, n.token))
	}
}

// Text returns the text of a scalar.
func (n Node) Text() (string, bool) {
	value, ok := n.open()
	if !ok {
		return "", false
	}
	switch v := value.(type) {
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.StringNode:
		return v.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return v.GetToken().Value, true
	case *ast.NullNode:
		n.Report("missing value")
	default:
		n.Report("want a single value")
	}
	return "", false
}

// IsMap reports whether the node is a mapping.
func (n Node) IsMap() bool {
	if n.reader == nil {
		return false
	}
	switch n.reader.resolve(n.value).(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return true
	}
	return false
}

func (n Node) mapping() ([]*ast.MappingValueNode, bool) {
	value, ok := n.open()
	if !ok {
		return nil, false
	}
	switch v := value.(type) {
	case *ast.MappingNode:
		return v.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{v}, true
	}
	n.Report("want a mapping")
	return nil, false
}

// open returns the node's value, following aliases.
func (n Node) open() (ast.Node, bool) {
	if n.reader == nil || !n.reader.countValue(n.token) {
		return nil, false
	}
	value := n.reader.resolve(n.value)
	return value, value != nil
}

func (n Node) child(value ast.Node, parent *token.Token) Node {
	at := firstToken(value)
	if _, missing := value.(*ast.NullNode); missing || at == nil {
		at = parent
	}
	return Node{reader: n.reader, value: value, token: at}
}

func keys(fields []Field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.Key
	}
	return strings.Join(names, ", ")
}

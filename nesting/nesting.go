// Package nesting bounds how deeply the values of a JSON document are nested.
//
// Usage:
//
//	if err := json.Unmarshal(data, &list); err != nil {
//		err = json.Unmarshal(nesting.Prune(data, 100), &list)
//	}
//
// Package encoding/json rejects a document as a whole if any of its values is nested too
// deeply. In a list with many writers, a single entry would make all others unreadable.
package nesting

// Prune returns a document in which each array and object below the depth is replaced by
// null. A document that isn't JSON stays one that isn't.
func Prune(data []byte, depth int) []byte {
	pruned := make([]byte, 0, len(data))
	level := 0
	inString, escaped := false, false
	for _, b := range data {
		opens := !inString && (b == '[' || b == '{')
		closes := !inString && (b == ']' || b == '}')
		if opens {
			level++
		}
		switch {
		case level <= depth:
			pruned = append(pruned, b)
		case opens && level == depth+1:
			pruned = append(pruned, "null"...)
		}
		if closes {
			level--
		}
		if b == '"' && !escaped {
			inString = !inString
		}
		escaped = inString && b == '\\' && !escaped
	}
	return pruned
}

package limits

import (
	"encoding/json"
	"testing"
)

// count returns the number of elements of arrays and objects in a decoded document, of
// elements of arrays alone, and the depth.
func count(v any) (elements, items, depth int) {
	var children []any
	switch v := v.(type) {
	case []any:
		children = v
		items = len(v)
	case map[string]any:
		for _, c := range v {
			children = append(children, c)
		}
	default:
		return 0, 0, 0
	}
	elements = len(children)
	for _, c := range children {
		e, i, d := count(c)
		elements, items, depth = elements+e, items+i, max(depth, d)
	}
	return elements, items, depth + 1
}

// FuzzScanner checks that the scanner counts at least what a decoder finds, however the
// document is divided, and that it refuses a valid document only for its limits.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		`{"Spec":"s","Steps":[{"Count":1,"After":[0,1]},{}]}`, `[[[[]]],{"a":{"b":[1,2,3]}}]`,
		`"a\"[,"`, `["\\",",","]",{"\\\"":[]}]`, `{`, `]]]]`, `"\`, `[1,2`,
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, at int) {
		at = min(max(at, 0), len(text))
		s := scanner{maxElements: 1000}
		err := s.scan([]byte(text[:at]))
		if err == nil {
			err = s.scan([]byte(text[at:]))
		}
		var v any
		if json.Unmarshal([]byte(text), &v) != nil {
			return
		}
		elements, items, depth := count(v)
		if err == nil && (s.elements < elements || s.items < items || depth > maxDepth || s.depth != 0) {
			t.Fatalf("%q: scanner found %d elements, %d items, decoder %d, %d, depth %d", text, s.elements, s.items, elements, items, depth)
		}
	})
}

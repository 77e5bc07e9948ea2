package limits

import (
	"bytes"
	"fmt"
)

// Limits of the JSON documents of clients.
const (
	MaxElements = 10_000 // elements of arrays and members of objects, in all
	maxDepth    = 32     // of nested arrays and objects; at most 64, the bits of scanner.arrays
)

// ElementsError reports a document with too many elements or too deep a nesting.
type ElementsError struct {
	Quantity string
	Limit    int
}

// Error names the exceeded limit.
func (e *ElementsError) Error() string {
	return fmt.Sprintf("body: %s exceeds the limit of %d", e.Quantity, e.Limit)
}

// scanner counts the elements and the depth of a JSON document as its bytes arrive.
// It does not check the syntax.
type scanner struct {
	maxElements int

	elements int // of arrays and objects, at least as many as a decoder finds
	items    int // of arrays alone
	depth    int
	arrays   uint64 // bit n is set if the container at depth n is an array
	inString bool
	escaped  bool
}

// scan scans the next part of the document. It returns an *ElementsError.
func (s *scanner) scan(part []byte) error {
	for i := 0; i < len(part); i++ {
		if s.inString {
			i += s.scanString(part[i:]) - 1
			continue
		}
		switch part[i] {
		case '"':
			s.inString = true
		case '[', '{':
			s.arrays &^= 1 << s.depth
			if part[i] == '[' {
				s.arrays |= 1 << s.depth
			}
			s.depth++
			s.addElement()
		case ']', '}':
			s.depth = max(s.depth-1, 0)
		case ',':
			s.addElement()
		default:
			continue
		}
		if s.depth > maxDepth {
			return &ElementsError{Quantity: "depth", Limit: maxDepth}
		}
		if s.elements > s.maxElements {
			return &ElementsError{Quantity: "number of elements", Limit: s.maxElements}
		}
	}
	return nil
}

// CheckElements checks the elements and the depth of a whole document. It returns an
// *ElementsError.
func CheckElements(document []byte, maxElements int) error {
	s := scanner{maxElements: maxElements}
	return s.scan(document)
}

// addElement counts an element of the innermost container.
func (s *scanner) addElement() {
	s.elements++
	if s.depth > 0 && s.arrays>>(s.depth-1)&1 == 1 {
		s.items++
	}
}

// scanString scans the rest of a string and returns the number of its bytes in part.
func (s *scanner) scanString(part []byte) int {
	n := 0
	if s.escaped {
		s.escaped = false
		n = 1
	}
	for n < len(part) {
		k := bytes.IndexByte(part[n:], '"')
		b := bytes.IndexByte(part[n:], '\\')
		if k < 0 && b < 0 {
			return len(part)
		}
		if b < 0 || k >= 0 && k < b {
			s.inString = false
			return n + k + 1
		}
		n += b + 2
		s.escaped = n > len(part)
	}
	return min(n, len(part))
}

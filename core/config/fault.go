package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a configuration file.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Key    string `json:"key"` // section and key, as "section.key"
	Reason string `json:"reason"`
}

// String formats the fault as "file:line: key: reason".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

// FaultsError holds all faults of a configuration, sorted by file and line.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

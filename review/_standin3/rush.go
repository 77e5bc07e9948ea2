package main

import (
	"fmt"
	"time"
)

// rush plays large jobs of very small work units that come at once.
func rush(rec *record, trouble bool) *system {
	rec.quiet = true
	s := newSystem(rec, 3, 2, small)
	g := s.guardMemory()
	n := 10
	if !trouble {
		n = 1
	}
	for i := range n {
		j := &job{Spec: "very small work units", id: fmt.Sprintf("5c0e7a21d94b3c%02x", i), prefix: "/lohu930/", Steps: []*step{
			{Count: 2000, Cpu: 4, MemMb: 8, EstimatedMs: 5000, spec: spec{dur: 5 * time.Second}},
		}}
		s.submit(j, i)
	}
	s.checkStalls(time.Now())
	time.Sleep(25 * time.Second)
	g.report(s)
	return s
}

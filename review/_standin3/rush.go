package main

import (
	"fmt"
	"time"
)

// rush plays large jobs of very small work units that come in a burst of 4 s, in the
// mix of the kinds of request at such a time. Without the disruption one of them comes.
func rush(rec *record, trouble bool) *system {
	rec.quiet = true
	s := newSystem(rec, 3, 2, small)
	g := s.guardMemory()
	queues := []string{"/lohu930/", "/pufi791/", "/lohu930/", "/lohu930/", "/pufi791/", "/lohu930/", "/pule252/", "/lohu930/", "/pufi791/", "/lohu930/"}
	if !trouble {
		queues = queues[:1]
	}
	for i, q := range queues {
		next := time.Now().Add(400 * time.Millisecond)
		j := &job{Spec: "very small work units", id: fmt.Sprintf("5c0e7a21d94b3c%02x", i), prefix: q, Steps: []*step{
			{Count: 2000, Cpu: 4, MemMb: 8, EstimatedMs: 5000, spec: spec{dur: 5 * time.Second}},
		}}
		s.submit(j, i)
		time.Sleep(time.Until(next))
	}
	s.checkStalls(time.Now())
	time.Sleep(5 * time.Second)
	g.report(s)
	return s
}

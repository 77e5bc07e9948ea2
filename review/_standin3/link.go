package main

import (
	"strings"
	"time"
)

// link plays a large job where the links of the entries have 10 Mbit/s. Without the
// disruption the job is an ordinary one.
func link(rec *record, trouble bool) *system {
	rec.quiet = true
	linkMbps = 10
	s := newSystem(rec, 3, 2, small)
	n := 300
	if !trouble {
		n = 9
	}
	j := &job{Spec: strings.Repeat("x", 4000), id: "5c0e7a21d94b3a00", prefix: "/pule252/", Steps: []*step{
		{Count: n, Cpu: 50, MemMb: 100, EstimatedMs: 5000, spec: spec{dur: 5 * time.Second}},
	}}
	s.submit(j, 0)
	s.checkStalls(time.Now())
	return s
}

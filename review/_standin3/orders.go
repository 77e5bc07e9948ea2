package main

import (
	"fmt"
	"strings"
	"time"
)

// orders plays large jobs that come at once while the fleet is busy, so that room for
// all of them becomes free at once. Without the disruption one of them comes.
func orders(rec *record, trouble bool) *system {
	rec.quiet = true
	s := newSystem(rec, 3, 2, small)
	f := &job{Spec: "fills the fleet", id: "5c0e7a21d94b3900", prefix: "/lohu930/", Steps: []*step{
		{Count: 2, Cpu: 32000, MemMb: 65536, Gpu: 8, EstimatedMs: 5000, spec: spec{dur: 5 * time.Second}},
	}}
	s.submit(f, 0)
	s.awaitStarts(f, 2, 10*time.Second)
	n := 3
	if !trouble {
		n = 1
	}
	for i := range n {
		j := &job{Spec: strings.Repeat("x", 4000), id: fmt.Sprintf("5c0e7a21d94b391%d", i), prefix: "/lohu930/", Steps: []*step{
			{Count: 1500, Cpu: 7, MemMb: 14, EstimatedMs: 5000, spec: spec{dur: 5 * time.Second}},
		}}
		s.submit(j, i)
	}
	time.Sleep(5 * time.Second)
	l := &job{Spec: "a later small job", id: "5c0e7a21d94b3920", prefix: "/pufi791/", Steps: []*step{
		{Count: 1, Cpu: 1000, MemMb: 1000, Gpu: 1, EstimatedMs: 1000, spec: spec{dur: time.Second}},
	}}
	s.submit(l, 1)
	s.checkStalls(time.Now())
	return s
}

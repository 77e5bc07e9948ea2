package main

import (
	"fmt"
	"strings"
	"time"
)

// takeover plays the loss of the scheduler where the links of the entries have 10 Mbit/s
// and scheduled jobs of many steps have been accepted.
func takeover(rec *record, trouble bool) *system {
	rec.quiet = true
	linkMbps = 10
	s := newSystem(rec, 3, 2, small)
	due := time.Now().Add(6 * time.Hour).UnixMilli()
	image := "images.example/podcheck/verify@sha256:" + strings.Repeat("0123456789abcdef", 4)
	for i := range 100 {
		next := time.Now().Add(540 * time.Millisecond)
		j := &job{Spec: strings.Repeat("x", 4000), id: fmt.Sprintf("5c0e7a2100b1%04x", i), prefix: "/pule252/", FirstRunMs: due, IntervalMs: 1000, RepeatCount: 1}
		for n := range 64 {
			st := &step{Count: 1, Cpu: 2800, MemMb: 5700, Gpu: 1, EstimatedMs: 8100, Requirements: "a", DataRack: "r1-0", Image: image}
			if n > 0 {
				st.After = []int{n - 1}
			}
			j.Steps = append(j.Steps, st)
		}
		s.submit(j, i)
		time.Sleep(time.Until(next))
	}
	if trouble {
		p := s.leader()
		rec.note("kill -9 of %s, which leads", p.name)
		p.restart(3540 * time.Millisecond)
		rec.note("%s is started again", p.name)
	}
	time.Sleep(10 * time.Second)
	j := &job{Spec: "a small job", id: "5c0e7a21d94b3b00", prefix: "/lohu930/", Steps: []*step{
		{Count: 1, Cpu: 1000, MemMb: 1000, Gpu: 1, EstimatedMs: 1000, spec: spec{dur: time.Second}},
	}}
	s.submit(j, 0)
	s.checkStalls(time.Now())
	return s
}

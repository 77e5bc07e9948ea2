package main

import (
	"fmt"
	"time"
)

// ends plays steps of many small work units that end on one worker while no process
// leads, after the one that led was killed. A worker lists 500 ends at a time.
func ends(rec *record, trouble bool) *system {
	rec.quiet = true
	s := newSystem(rec, 3, 2, small)
	until := time.Now().Add(8 * time.Second) // the work units end together
	var jobs []*job
	for i := range 2 {
		j := &job{Spec: "many small work units", id: fmt.Sprintf("5c0e7a21d94b360%d", i), prefix: "/lohu930/", Steps: []*step{
			{Count: 1000, Cpu: 16, MemMb: 32, EstimatedMs: 6000, spec: spec{dur: 6 * time.Second, until: until}},
		}}
		jobs = append(jobs, j)
		s.submit(j, i)
	}
	for _, j := range jobs {
		s.awaitStarts(j, 1000, 20*time.Second)
	}
	if trouble {
		rec.awaitFirstEnd()
		p := s.leader()
		rec.note("kill -9 of %s, which leads", p.name)
		p.restart(3500 * time.Millisecond)
		rec.note("%s is started again", p.name)
	}
	s.await(40 * time.Second)
	time.Sleep(2 * time.Second)
	return s
}

// awaitStarts waits until so many work units of a job have begun.
func (s *system) awaitStarts(j *job, n int, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		s.rec.mu.Lock()
		begun := make(map[string]bool)
		for _, x := range s.rec.runs {
			if len(x.task) > 16 && x.task[:16] == j.id {
				begun[x.task] = true
			}
		}
		s.rec.mu.Unlock()
		if len(begun) >= n {
			s.rec.note("%d work units of %s have begun", n, j.id)
			return
		}
	}
	s.rec.note("not all work units of %s have begun in time", j.id)
}

// awaitFirstEnd waits until the first work unit has ended.
func (r *record) awaitFirstEnd() {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		ended := len(r.runs) > 0 && !r.runs[0].end.IsZero()
		r.mu.Unlock()
		if ended {
			return
		}
	}
}

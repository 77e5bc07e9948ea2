package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	burstJobs   = 4
	burstTasks  = 2000
	specBytes   = 4000                   // the longest that the pages allow
	finishTime  = 14 * time.Second       // finish_s
	stallTime   = 3 * time.Second        // with nothing running
	burstWork   = 500 * time.Millisecond // of one task
	ordersLimit = 60 * time.Second
)

// playOrders hands in four jobs at once, each with many small tasks and the longest Spec.
// All of them fit on one of the workers. Nothing else happens. Later an ordinary job is
// handed in. All of them must be at work, or done, when they are asked for.
func playOrders(s *system, trouble bool) (outcome, error) {
	s.cluster.quiet = true
	if err := s.start(2, 3); err != nil {
		return outcome{}, err
	}
	text := "podcheck"
	count := 5
	if trouble {
		text, count = strings.Repeat("x", specBytes), burstTasks
	}
	ids := make([]string, burstJobs)
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = jobID()
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.submitSpec(i%len(s.entries), ids[i], text, jobSpec{work: burstWork}, step{"Count": count, "Cpu": 4, "MemMb": 8, "EstimatedMs": 500})
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	ordinary := jobID()
	s.submit(0, ordinary, jobSpec{work: burstWork}, step{"Count": 1, "Cpu": 4, "MemMb": 8, "EstimatedMs": 500})
	ids = append(ids, ordinary)
	handedIn := s.rec.now()
	for s.rec.now()-handedIn < ordersLimit {
		time.Sleep(time.Second)
		states := make(map[string]int)
		for _, id := range ids {
			states[s.state(id)]++
		}
		s.cluster.mu.Lock()
		idle := s.rec.now() - s.cluster.lastBusy
		s.rec.add("states %v; %d starts so far; nothing at work for %v", states, len(s.cluster.starts), idle.Round(10*time.Millisecond))
		s.cluster.mu.Unlock()
		if states["completed"] == len(ids) {
			return outcome{why: "all jobs are completed"}, nil
		}
		if s.rec.now()-handedIn > finishTime+stallTime && idle > stallTime {
			return outcome{broken: true, why: fmt.Sprintf("LOST: %v after the last job was handed in nothing is at work for %v, with all workers idle; states %v", (s.rec.now() - handedIn).Round(time.Second), idle.Round(time.Second), states)}, nil
		}
	}
	return outcome{why: "the jobs are at work"}, nil
}

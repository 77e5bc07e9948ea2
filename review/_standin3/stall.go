package main

import (
	"time"
)

// finishTime is finish_s of the deployment, and stallTime the span of the rule LOST.
const (
	finishTime = 14 * time.Second
	stallTime  = 3 * time.Second
)

// use returns what runs, for each job and on all workers together.
func (r *record) use() (byJob map[string]int, all resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byJob = make(map[string]int)
	for _, x := range r.runs {
		if x.end.IsZero() {
			byJob[x.task[:16]]++
			all.Cpu, all.MemMb, all.Gpu = all.Cpu+x.demand.Cpu, all.MemMb+x.demand.MemMb, all.Gpu+x.demand.Gpu
		}
	}
	return byJob, all
}

// checkStalls checks the rule LOST as it holds finishTime after the end of the traffic:
// each accepted job is known, and none has nothing running for stallTime while under
// half of the service's capacity is in use, so that there is capacity for any of these
// small work units twice over.
func (s *system) checkStalls(trafficEnd time.Time) {
	c := newClient()
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	s.rec.note("jobs are asked for")
	idle := make(map[string]time.Time)
	broken := make(map[string]bool)
	half := resources{len(s.workers) * small.Cpu / 2, len(s.workers) * small.MemMb / 2, len(s.workers) * small.Gpu / 2}
	for until := time.Now().Add(stallTime + 3*time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		byJob, all := s.rec.use()
		free := all.Cpu < half.Cpu && all.MemMb < half.MemMb && all.Gpu < half.Gpu
		for _, j := range s.jobList() {
			if j.acceptedAt.IsZero() || !j.cancelSent.IsZero() || j.waits() || broken[j.id] {
				continue
			}
			st := s.state(c, j, 0)
			if st == "completed" || st == "failed" || byJob[j.id] > 0 || !free {
				delete(idle, j.id)
				continue
			}
			if idle[j.id].IsZero() {
				idle[j.id] = time.Now()
			}
			if time.Since(idle[j.id]) > stallTime {
				broken[j.id] = true
				s.rec.mu.Lock()
				s.rec.breaks("LOST", "the accepted job %s, shown as %q, has had nothing running for %v; %v of %v millicores are in use",
					j.id, st, stallTime, all.Cpu, 2*half.Cpu)
				s.rec.mu.Unlock()
			}
		}
	}
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case.
const (
	cancelLimit = 3 * time.Second         // cancel_ms
	hangTime    = 3150 * time.Millisecond // from the first start order on
	watchTime   = 6 * time.Second
)

// playCancel hands in a job, kills the scheduler when the worker has got the order to
// start its task, and cancels the job at the other entry. From that order on the worker
// answers no call for a little over cancel_ms. No task of the job may start later than
// cancel_ms after the cancellation was acknowledged.
func playCancel(s *system, trouble bool) (outcome, error) {
	if err := s.start(2, workerCount); err != nil {
		return outcome{}, err
	}
	leader, other, err := s.scheduler()
	if err != nil {
		return outcome{}, err
	}
	id := jobID()
	ordered := make(chan struct{})
	var once sync.Once
	s.cluster.mu.Lock()
	for _, w := range s.cluster.workers {
		var hangUntil atomic.Int64 // of the record's time
		w.onCall = func(path string) {
			if path == "/-/run-start" {
				once.Do(func() {
					if trouble {
						hangUntil.Store(int64(s.rec.now() + hangTime))
						s.rec.add("%s: answers no call for %v", w.name, hangTime)
					}
					close(ordered)
				})
			}
		}
		w.hangs = func(string) bool { return int64(s.rec.now()) < hangUntil.Load() }
	}
	s.cluster.mu.Unlock()
	if !s.submit(other, id, jobSpec{work: 2 * time.Second}, step{"Count": 1, "Cpu": 13000, "MemMb": 26000, "Gpu": 8, "EstimatedMs": 2000}) {
		return outcome{}, fmt.Errorf("the job was not accepted")
	}
	select {
	case <-ordered:
	case <-time.After(10 * time.Second):
		return outcome{}, fmt.Errorf("no start was ordered")
	}
	if trouble {
		s.entries[leader].kill()
		time.AfterFunc(darkTime, func() { _ = s.entries[leader].start() })
	}
	status, text := s.call(other, http.MethodDelete, prefix+id, nil)
	acked := s.rec.now()
	s.rec.add("client: DELETE %s at %s: %d %s", id, s.entries[other].name, status, text)
	if status != http.StatusOK {
		return outcome{}, fmt.Errorf("the cancellation was not acknowledged")
	}
	time.Sleep(watchTime)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, start := range s.cluster.starts {
		if jobOf(start.task) == id && start.at > acked+cancelLimit {
			return outcome{broken: true, why: fmt.Sprintf("UNASKED: %s run %d started %v after the cancellation was acknowledged", start.task, start.number, (start.at - acked).Round(time.Millisecond))}, nil
		}
	}
	return outcome{why: "no task of the cancelled job has started later than cancel_ms"}, nil
}

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// workerCount is the number of workers of the first deployment.
const workerCount = 11

// Times of the case.
const (
	sickTime    = time.Second            // for which both workers fail all that they start
	lateAnswer  = 100 * time.Millisecond // of the second worker's answers meanwhile
	gangWork    = 2 * time.Second
	gangMaxTime = 40 * time.Second
	darkTime    = 3 * time.Second // of the entry that is killed
)

// playGang hands in a gang of two tasks. The two workers that get it fail what they start
// for a second, so its first run fails on both; the second of them answers a little later
// than the first. The entry that is the scheduler is killed when the first worker's end
// has been taken note of. The gang may fail twice and has failed once, so its job must
// complete.
func playGang(s *system, trouble bool) (outcome, error) {
	if err := s.start(2, workerCount); err != nil {
		return outcome{}, err
	}
	leader, other, err := s.scheduler()
	if err != nil {
		return outcome{}, err
	}
	id := jobID()
	noted := make(chan struct{}, 1)
	var slow atomic.Bool
	var sick []*worker
	s.cluster.mu.Lock()
	if trouble {
		s.cluster.onStart = func(w *worker, task string) {
			if len(sick) == 2 || jobOf(task) != id {
				return
			}
			w.fails = true
			sick = append(sick, w)
			if len(sick) == 1 {
				w.onLastSeen = func(int) {
					select {
					case noted <- struct{}{}:
					default:
					}
				}
				return
			}
			slow.Store(true)
			w.answerDelay = func(path string) time.Duration {
				if path == "/-/hold" && slow.Load() {
					return lateAnswer
				}
				return 0
			}
		}
	}
	s.cluster.mu.Unlock()
	if !s.submit(other, id, jobSpec{gang: 2, work: gangWork}, step{"Count": 2, "Cpu": 13000, "MemMb": 26000, "Gpu": 8, "EstimatedMs": 2000, "Gang": true}) {
		return outcome{}, fmt.Errorf("the job was not accepted")
	}
	if trouble {
		select {
		case <-noted:
		case <-time.After(10 * time.Second):
			return outcome{}, fmt.Errorf("no end of the first worker was taken note of")
		}
		s.entries[leader].kill()
		time.AfterFunc(sickTime, func() {
			s.cluster.mu.Lock()
			defer s.cluster.mu.Unlock()
			for _, w := range sick {
				w.fails = false
			}
			slow.Store(false)
			s.rec.add("the workers are sound again")
		})
		time.AfterFunc(darkTime, func() { _ = s.entries[leader].start() })
	}
	last := ""
	for end := time.Now().Add(gangMaxTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		state := s.state(id)
		if state != last {
			s.rec.add("client: GET %s: %q", id, state)
			last = state
		}
		switch state {
		case "completed":
			return outcome{why: "the job is completed"}, nil
		case "failed", "cancelled", "gone":
			runs := s.failedRuns(id)
			if state == "failed" && len(runs) >= s.attempts {
				return outcome{}, fmt.Errorf("the gang has failed in runs %v", runs)
			}
			return outcome{broken: true, why: fmt.Sprintf("LOST: the job is shown as %s; its gang has failed in runs %v, of %d that it may", state, runs, s.attempts)}, nil
		}
	}
	return outcome{broken: true, why: "LOST: the job is still " + last}, nil
}

// failedRuns returns the numbers of the runs of a job that have ended as failed.
func (s *system) failedRuns(id string) []int {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	var numbers []int
	seen := make(map[int]bool)
	for _, e := range s.cluster.history {
		if jobOf(e.task) == id && e.how == "failed" && !seen[e.number] {
			seen[e.number] = true
			numbers = append(numbers, e.number)
		}
	}
	return numbers
}

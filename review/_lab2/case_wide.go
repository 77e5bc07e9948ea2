package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the case.
const (
	wideJobs    = 1400
	wideTasks   = 2000
	wideClients = 16
	wideTime    = 88 * time.Second
	restartTime = 500 * time.Millisecond // after an end, as on the platform
	endsPerDay  = 3                      // of one machine, on two machines
)

// memoryWatch ends the processes of entries that exceed the memory of their machines, as
// the platform does, and starts them again.
type memoryWatch struct {
	s        *system
	machines []*machine
	limit    int // MB
	peak     []int
	ends     []int
	dark     []time.Time // when an entry was ended, if it is not started again yet
}

func (w *memoryWatch) look() {
	for i, m := range w.machines {
		if !w.dark[i].IsZero() {
			if time.Since(w.dark[i]) > restartTime {
				w.dark[i] = time.Time{}
				_ = m.start()
			}
			continue
		}
		mb := 0
		if m.running() {
			mb = m.rssMb()
			w.peak[i] = max(w.peak[i], mb)
			if mb <= w.limit {
				continue
			}
			w.s.rec.add("%s: %d MB of %d, ended by the platform", m.name, mb, w.limit)
			m.kill()
		} else {
			w.s.rec.add("%s: has ended", m.name)
		}
		w.ends[i]++
		w.dark[i] = time.Now()
	}
}

// faulty returns how many entries have ended as often as breaks the rule.
func (w *memoryWatch) faulty() int {
	n := 0
	for _, ends := range w.ends {
		if ends >= endsPerDay {
			n++
		}
	}
	return n
}

// playWide lets a crowd hand in jobs of legal size with many tasks. To refuse them is
// allowed. No process may end for the memory that it takes.
func playWide(s *system, trouble bool) (outcome, error) {
	s.cluster.quiet = true
	if err := s.start(2, 2); err != nil {
		return outcome{}, err
	}
	w := &memoryWatch{s: s, machines: s.entries, limit: s.memoryMb, peak: make([]int, len(s.entries)), ends: make([]int, len(s.entries)), dark: make([]time.Time, len(s.entries))}
	var accepted, refused, unanswered atomic.Int64
	if trouble {
		go crowd(s, &accepted, &refused, &unanswered)
	}
	ordinary := jobID()
	handedIn := false
	state := ""
	lastAsked := time.Now()
	for end := time.Now().Add(wideTime); time.Now().Before(end) && w.faulty() < len(s.entries); time.Sleep(20 * time.Millisecond) {
		w.look()
		if !handedIn && s.rec.now() > 5*time.Second {
			handedIn = true
			go s.submit(0, ordinary, jobSpec{work: time.Second}, step{"Count": 1, "Cpu": 2800, "MemMb": 5700, "Gpu": 1, "EstimatedMs": 1000})
		}
		if !trouble && s.rec.now() > 30*time.Second {
			break
		}
		if time.Since(lastAsked) > 5*time.Second {
			lastAsked = time.Now()
			s.rec.add("crowd: %d accepted, %d refused, %d without an answer; peak memory %v MB", accepted.Load(), refused.Load(), unanswered.Load(), w.peak)
		}
	}
	state = s.state(ordinary)
	s.rec.add("client: GET %s (an ordinary job): %q", ordinary, state)
	why := fmt.Sprintf("of the jobs of the crowd %d were accepted and %d refused; entries ended %v times, peak memory %v MB of %d", accepted.Load(), refused.Load(), w.ends, w.peak, s.memoryMb)
	if w.faulty() >= 2 {
		return outcome{broken: true, why: "Fault: " + why}, nil
	}
	return outcome{why: why}, nil
}

func crowd(s *system, accepted, refused, unanswered *atomic.Int64) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for range wideClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := next.Add(1); n <= wideJobs; n = next.Add(1) {
				id := jobID()
				s.cluster.mu.Lock()
				s.cluster.jobs[id] = jobSpec{work: 8 * time.Second}
				s.cluster.mu.Unlock()
				status, _ := s.call(int(n)%len(s.entries), http.MethodPost, prefix+id, map[string]any{
					"Spec": "podcheck", "Steps": []step{{"Count": wideTasks, "Cpu": 2800, "MemMb": 5700, "Gpu": 1, "EstimatedMs": 8100}},
				})
				switch status {
				case http.StatusOK:
					accepted.Add(1)
				case http.StatusTooManyRequests, http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					unanswered.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	s.rec.add("the crowd has handed in its jobs")
}

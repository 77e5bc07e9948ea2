package main

import (
	"net/http"
	"time"
)

// Times of the case reborn.
const (
	rebornCut     = 5 * time.Second        // as long as the bench's cuts of servers are by default
	rebornRestart = 150 * time.Millisecond // from the crash to the next lifetime
	rebornTraffic = 16 * time.Second
)

func init() { scenarios["reborn"] = scenario{entries: 3, workers: 5, gpus: 8, play: playReborn} }

// playReborn cuts the liveness reports of one worker, which crashes behind the cut and
// starts again under its id. Orders reach it all the while.
func playReborn(s *system, trouble bool) ([]string, error) {
	if trouble {
		time.AfterFunc(5*time.Second, func() {
			w := s.workers[0]
			w.mu.Lock()
			w.cut = true
			w.mu.Unlock()
			s.rec.add("%s: cut off from control", w.id)
			time.Sleep(300 * time.Millisecond)
			w.crash()
			time.Sleep(rebornRestart)
			if err := w.begin(); err != nil {
				s.rec.say("%v", err)
				return
			}
			s.rec.add("%s: started again under its id", w.id)
			time.Sleep(rebornCut - 300*time.Millisecond - rebornRestart)
			w.mu.Lock()
			w.cut = false
			w.mu.Unlock()
			s.rec.add("%s: the cut has healed", w.id)
		})
	}
	submitSteadily(s, rebornTraffic, 250*time.Millisecond)
	time.Sleep(12 * time.Second)
	return checkTwice(s.rec, s.allRuns(), time.Now()), nil
}

// submitSteadily submits small jobs for some time.
func submitSteadily(s *system, d, interval time.Duration) {
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		body := jobBody("1500:certificate", map[string]any{"Count": 2, "Cpu": 2800, "MemMb": 5700, "Gpu": 1, "EstimatedMs": 1500})
		path := queues[2] + newID()
		go func() {
			for try := range 4 {
				if status, _ := s.call(i+try, "POST", path, body, 3*time.Second); status == http.StatusOK {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		time.Sleep(interval)
	}
}

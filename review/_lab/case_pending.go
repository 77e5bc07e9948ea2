package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case pending.
const (
	busyFor     = 6500 * time.Millisecond // the largest dose of the sites
	visibleTime = 3 * time.Second         // visible_ms
)

func init() { scenarios["pending"] = scenario{entries: 3, workers: 11, gpus: 8, play: playPending} }

// playPending makes one worker turn all starts away with 503, while the others are full.
// Clients ask how many jobs have not begun.
func playPending(s *system, trouble bool) ([]string, error) {
	sick := s.workers[10]
	step := map[string]any{"Count": 10, "Cpu": 2800, "MemMb": 5700, "Gpu": 8, "EstimatedMs": 20000, "AntiAffinity": 1}
	if trouble {
		sick.setBusy(true)
		time.AfterFunc(busyFor, func() { sick.setBusy(false) })
	} else {
		step["Count"] = 11
	}
	if status, _ := s.call(0, "POST", queues[1]+newID(), jobBody("20000:scan", step), 3*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the job that fills the workers is answered by %d", status)
	}
	time.Sleep(300 * time.Millisecond)
	accepted := make(map[string]time.Time)
	for i := range 6 {
		id := newID()
		body := jobBody("1000:certificate", map[string]any{"Count": 1, "Cpu": 2800, "MemMb": 5700, "Gpu": 1, "EstimatedMs": 1000})
		if status, _ := s.call(i, "POST", queues[2]+id, body, 3*time.Second); status == http.StatusOK {
			accepted[id] = time.Now()
		}
	}
	var breaches []string
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		asked := time.Now()
		status, answer := s.call(1, "GET", queues[2], nil, 3*time.Second)
		var a struct{ Pending int }
		if status != http.StatusOK || json.Unmarshal(answer, &a) != nil {
			continue
		}
		begun := make(map[string]bool)
		for _, r := range s.allRuns() {
			begun[strings.SplitN(r.task, ".", 2)[0]] = true
		}
		waiting := 0
		for id, at := range accepted {
			if !begun[id] && asked.Sub(at) > visibleTime+2*time.Second {
				waiting++
			}
		}
		if 2*a.Pending < waiting {
			breaches = append(breaches, fmt.Sprintf("MIXED: Pending is given as %d at %.3f, when %d jobs that were accepted over %.0f s before have not begun",
				a.Pending, s.rec.at(asked), waiting, (visibleTime+2*time.Second).Seconds()))
		}
	}
	return breaches, nil
}

// setBusy makes the worker answer all starts by 503.
func (w *worker) setBusy(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = busy
	w.rec.add("%s answers all starts by 503: %t", w.id, busy)
}

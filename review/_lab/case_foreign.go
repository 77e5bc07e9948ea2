package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case foreign.
const (
	foreignTraffic = 12 * time.Second
	finishTime     = 14 * time.Second // finish_s
	stallTime      = 3 * time.Second
)

func init() { scenarios["foreign"] = scenario{entries: 3, workers: 3, gpus: 8, play: playForeign} }

// playForeign sends one liveness report of a service that no desired state names to the
// machine of one worker. Some jobs need the label of that worker.
func playForeign(s *system, trouble bool) ([]string, error) {
	w := s.workers[2]
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			body, _ := json.Marshal(map[string]any{
				"Service": "archive-desk", "Address": "127.0.0.1:9", "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
				"Capacity": map[string]int{"Cpu": 32000, "MemMb": 65536, "Gpu": 8}, "Labels": []string{"a", "r1-1"}, "ClockMs": 100, "SeqNo": 1, "born": time.Now().UnixMilli(),
			})
			status := post("http://"+w.control+"/-/Instances.Heartbeat/i-00000000000000aa", body)
			s.rec.add("a report of another writer arrives at the machine of %s: %d", w.id, status)
		})
	}
	var accepted []string
	for i, end := 0, time.Now().Add(foreignTraffic); time.Now().Before(end); i++ {
		step := map[string]any{"Count": 1, "Cpu": 2800, "MemMb": 5700, "Gpu": 1, "EstimatedMs": 1000}
		if i%4 == 0 {
			step["Requirements"] = w.labels[0]
		}
		id := newID()
		if status, _ := s.call(i, "POST", queues[2]+id, jobBody("1000:certificate", step), 3*time.Second); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(stallTime)
	return checkStalled(s, accepted, from), nil
}

// checkStalled returns the breaches of LOST: an accepted job that has not ended and had
// nothing running since from, though the workers are idle and up.
func checkStalled(s *system, accepted []string, from time.Time) []string {
	runs := s.allRuns()
	active := make(map[string]bool)
	inUse := 0
	for _, r := range runs {
		if r.end.IsZero() || r.end.After(from) {
			active[strings.SplitN(r.task, ".", 2)[0]] = true
			inUse++
		}
	}
	var breaches []string
	for i, id := range accepted {
		_, answer := s.call(i, "GET", queues[2]+id, nil, 3*time.Second)
		if strings.Contains(string(answer), "completed") || active[id] {
			continue
		}
		breaches = append(breaches, fmt.Sprintf("LOST: job %s was accepted, has nothing running for %.0f s, %.0f s after the end of the traffic, and is shown as %s; runs at work in the service: %d",
			id, stallTime.Seconds(), finishTime.Seconds(), strings.TrimSpace(string(answer)), inUse))
	}
	return breaches
}

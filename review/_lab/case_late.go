package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the cases late and forgotten, from the pages.
const (
	lostShare   = 0.35 // of the writes, the largest dose of the sites
	lostFor     = 4500 * time.Millisecond
	minLate     = 2 * time.Second // of "done 1 to 6 s later"
	maxLate     = 6 * time.Second
	cancelTime  = 3 * time.Second // cancel_ms
	contactTime = 3 * time.Second // ContactMs
)

func init() { scenarios["late"] = scenario{entries: 3, workers: 3, gpus: 8, play: playLate} }

// playLate loses the answers of some writes of the store, which are done later: those
// that hold one job. Its client gets no answer in time and cancels the job.
func playLate(s *system, trouble bool) ([]string, error) {
	id := newID()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		submitUntil(s, stop, 500*time.Millisecond)
	}()
	time.Sleep(time.Second)
	var lostEnd time.Time
	var writes, lost atomic.Int64
	var cancelled atomic.Bool
	if trouble {
		lostEnd = time.Now().Add(lostFor)
		s.store.setFault(func(node string, t *transaction) (time.Duration, bool) {
			if time.Now().After(lostEnd) {
				return 0, false
			}
			writes.Add(1)
			if cancelled.Load() || !strings.Contains(describe(t), "job/"+id+" ") {
				return 0, false
			}
			lost.Add(1)
			s.rec.add("store: the answer to a write of %s is lost: %s", node, describe(t))
			return minLate + time.Duration(rand.Float64()*float64(maxLate-minLate)), true
		})
		time.Sleep(time.Second)
	}
	body := jobBody("40000:scan", map[string]any{"Count": 1, "Cpu": 13000, "MemMb": 26000, "Gpu": 1, "EstimatedMs": 40000})
	s.call(0, "POST", queues[1]+id, body, 3*time.Second)
	status := 0
	for try := 0; try < 4 && status != http.StatusOK && status != http.StatusGone; try++ {
		status, _ = s.call(1+try, "DELETE", queues[1]+id, nil, 3*time.Second)
	}
	acked := time.Now()
	cancelled.Store(true)
	if status != http.StatusOK && status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling is answered by %d", status)
	}
	time.Sleep(time.Until(lostEnd))
	close(stop)
	if n, all := lost.Load(), writes.Load(); trouble {
		s.rec.add("answers lost: %d of %d writes in %.1f s", n, all, lostFor.Seconds())
		if float64(n) > lostShare*float64(all) {
			return nil, fmt.Errorf("more than %.2f of the answers were lost", lostShare)
		}
	}
	wg.Wait()
	time.Sleep(25 * time.Second)
	s.call(0, "GET", queues[1]+id, nil, 3*time.Second)
	// The last lost write may be done maxLate after the end of the disruption.
	return checkCancelled(s, map[string]time.Time{id: acked}, map[string]int{id: status}, lostEnd.Add(maxLate+contactTime)), nil
}

// submitUntil submits small jobs until stop is closed.
func submitUntil(s *system, stop chan struct{}, interval time.Duration) {
	for i := 0; ; i++ {
		body := jobBody("500:certificate", map[string]any{"Count": 1, "Cpu": 500, "MemMb": 700, "EstimatedMs": 500})
		path := queues[2] + newID()
		go s.call(i, "POST", path, body, 3*time.Second)
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// checkCancelled returns the breaches of UNASKED: a work unit started later than
// cancel_ms after the cancelling of its job was acknowledged, by a machine in touch; or
// one that ran on for StopGraceMs after that. Moments before calm are left out.
func checkCancelled(s *system, cancelled map[string]time.Time, answers map[string]int, calm time.Time) []string {
	var breaches []string
	for _, r := range s.allRuns() {
		id := strings.SplitN(r.task, ".", 2)[0]
		at, ok := cancelled[id]
		if !ok {
			continue
		}
		end := r.end
		if end.IsZero() {
			end = time.Now()
		}
		if due := at.Add(cancelTime); r.start.After(due) && r.start.After(calm) {
			breaches = append(breaches, fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged by %d at %.3f; %v started at %.3f",
				id, answers[id], s.rec.at(at), &r, s.rec.at(r.start)))
		}
		// A work unit has to be gone after a calm stretch of cancel_ms + StopGraceMs.
		due := at
		if calm.After(due) {
			due = calm
		}
		if due = due.Add(cancelTime + stopGrace); end.After(due.Add(100 * time.Millisecond)) {
			breaches = append(breaches, fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged by %d at %.3f; %v ran from %.3f to %.3f %s",
				id, answers[id], s.rec.at(at), &r, s.rec.at(r.start), s.rec.at(end), r.how))
		}
	}
	return breaches
}

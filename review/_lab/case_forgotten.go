package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// darkFor is how long the lost entries are dark, the largest dose of the sites
// (herd_kill).
const darkFor = 9500 * time.Millisecond

func init() { scenarios["forgotten"] = scenario{entries: 3, workers: 3, gpus: 8, play: playForgotten} }

// playForgotten kills the entries beside the scheduler and loses one write of the
// store. A client cancels its job as soon as it is accepted.
func playForgotten(s *system, trouble bool) ([]string, error) {
	holder := s.holder()
	if holder == nil {
		return nil, fmt.Errorf("no scheduler")
	}
	at := 0
	for i, p := range s.entries {
		if p == holder {
			at = i
		}
	}
	var lostEnd time.Time
	var writes, lost atomic.Int64
	id := newID()
	if trouble {
		for _, p := range s.entries {
			if p == holder {
				continue
			}
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			_ = p.cmd.Wait()
			s.rec.add("%s: killed", p.node)
			time.AfterFunc(darkFor, func() {
				if err := s.startProcess(p); err != nil {
					s.rec.say("%v", err)
				}
			})
		}
		time.Sleep(1500 * time.Millisecond)
		lostEnd = time.Now().Add(lostFor)
		s.store.setFault(func(node string, t *transaction) (time.Duration, bool) {
			if time.Now().After(lostEnd) {
				return 0, false
			}
			writes.Add(1)
			if lost.Load() == 0 && node == holder.node && strings.Contains(describe(t), "job/"+id) && strings.Contains(describe(t), "scheduler/lease") {
				lost.Add(1)
				s.rec.add("store: the answer to a write of %s is lost: %s", node, describe(t))
				return 3 * time.Second, true
			}
			return 0, false
		})
	}
	time.Sleep(200 * time.Millisecond)
	body := jobBody("40000:scan", map[string]any{"Count": 1, "Cpu": 13000, "MemMb": 26000, "Gpu": 1, "EstimatedMs": 40000})
	if status, _ := s.call(at, "POST", queues[1]+id, body, 3*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("the job is answered by %d", status)
	}
	status, _ := s.call(at, "DELETE", queues[1]+id, nil, 3*time.Second)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the cancelling is answered by %d", status)
	}
	acked := time.Now()
	time.Sleep(28 * time.Second)
	s.call(at, "GET", queues[1]+id, nil, 3*time.Second)
	s.rec.add("answers lost: %d of %d writes", lost.Load(), writes.Load())
	return checkCancelled(s, map[string]time.Time{id: acked}, map[string]int{id: status}, lostEnd.Add(maxLate+contactTime)), nil
}

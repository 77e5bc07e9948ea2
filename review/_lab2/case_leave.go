package main

import (
	"fmt"
	"strings"
	"time"
)

// Times of the case.
const (
	leaveWork    = 4500 * time.Millisecond
	noticeAt     = 1800 * time.Millisecond // of the task's work
	leaveRemains = 2 * time.Second         // RemainingMs of the notice
	leaveMore    = 50 * time.Millisecond   // that the worker stays beyond that
	endAfter     = 2 * time.Second         // from a Leave without an acknowledgement to the end
)

// playLeave lets the worker of a running task drain and leave. The channel of its Leave
// is reset before the acknowledgement arrives, so the worker ends two seconds later. The
// task may not start elsewhere while it is at work there.
func playLeave(s *system, trouble bool) (outcome, error) {
	if err := s.start(2, workerCount); err != nil {
		return outcome{}, err
	}
	id := jobID()
	if !s.submit(0, id, jobSpec{work: leaveWork}, step{"Count": 1, "Cpu": 13000, "MemMb": 26000, "Gpu": 8, "EstimatedMs": 4500}) {
		return outcome{}, fmt.Errorf("the job was not accepted")
	}
	w := s.awaitStart(id, 5*time.Second)
	if w == nil {
		return outcome{}, fmt.Errorf("no task started")
	}
	time.Sleep(noticeAt)
	if !w.drain(leaveRemains) {
		return outcome{}, fmt.Errorf("draining was not acknowledged")
	}
	time.Sleep(time.Until(w.leaveAt) + leaveMore)
	if !w.leave(trouble) {
		time.Sleep(endAfter)
	}
	w.exit()
	last := ""
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && last != "completed"; time.Sleep(250 * time.Millisecond) {
		if state := s.state(id); state != last {
			s.rec.add("client: GET %s: %q", id, state)
			last = state
		}
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if len(s.cluster.overlaps) > 0 {
		return outcome{broken: true, why: "TWICE: " + strings.Join(s.cluster.overlaps, "; ")}, nil
	}
	return outcome{why: "no task has run twice at the same time; the job is " + last}, nil
}

// awaitStart returns the worker on which a task of a job has started.
func (s *system) awaitStart(id string, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.cluster.mu.Lock()
		for _, w := range s.cluster.workers {
			for task := range w.runs {
				if jobOf(task) == id {
					s.cluster.mu.Unlock()
					return w
				}
			}
		}
		s.cluster.mu.Unlock()
	}
	return nil
}

package job

import (
	"time"
)

// Limits of the wait for a proven worker.
const (
	// provenWait bounds the time for which work that a failure would hurt most
	// waits for a proven worker. Callers regard 3 s without a run as a stall.
	provenWait = 1500 * time.Millisecond

	// maxProvenWait is the same bound while proven workers are busy. It covers
	// most of an ejection.
	maxProvenWait = 5 * time.Second
)

// evidence is what a task or gang requires to be known of a worker.
type evidence uint8

const (
	noEvidence    evidence = iota // even a worker on which runs have failed at once
	notUnproven                   // no run has failed at once since one made progress
	freshEvidence                 // a run placed after the task's last failure has made progress
)

// requiredEvidence returns what must be known of a worker before a task or gang of
// the stage runs there. Work that a failure would hurt most waits for better
// evidence, but not for long unless proven workers are merely busy.
func (e *Engine) requiredEvidence(s *stage, failures int, last lastFailure, now time.Time) evidence {
	if s.step.LongRunning {
		return noEvidence
	}
	required := noEvidence
	switch {
	case failures > 0 && failures+1 >= s.job.Attempts && last.early:
		required = freshEvidence
	case failures > 0 || s.job.Attempts == 1 || s.step.Gang: // one member that fails stops a gang
		required = notUnproven
	}
	switch waited := now.Sub(later(s.readyAt, last.at)); {
	case required == noEvidence, waited > maxProvenWait, waited > provenWait && !e.provenWorkersSuffice(s, now):
		return noEvidence
	case waited > provenWait:
		return min(required, notUnproven)
	default:
		return required
	}
}

// provenWorkersSuffice reports whether proven workers could run the stage's gang, or
// one of its independent tasks, if they were empty.
func (e *Engine) provenWorkersSuffice(s *stage, now time.Time) bool {
	need := 1
	if s.step.Gang {
		need = s.step.Count
	}
	for _, w := range e.sortedWorkers {
		if w.health.isProven() && e.eligible(w, s, now) {
			need -= fitCount(w.Capacity, demand(s.step))
		}
	}
	return need <= 0
}

// satisfies reports whether enough is known of the candidate. failedAt is the time
// of the last failure of the task or gang.
func (x *candidate) satisfies(required evidence, failedAt time.Time) bool {
	switch required {
	case notUnproven:
		return x.proven
	case freshEvidence:
		return x.proven && x.w.health.provenAt.After(failedAt)
	default:
		return true
	}
}

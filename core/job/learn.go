package job

import (
	"time"
)

// newestRunWeight is the share of the newest run in the moving average: about ten
// runs are remembered.
const newestRunWeight = 0.1

// defaultRunTime stands in where neither runs nor the caller tell of a run
// time; the users' kinds of work lie between 2 and 9 s.
const defaultRunTime = 5 * time.Second

// queueRunTime are the learned run times of a queue's tasks.
type queueRunTime struct {
	mean time.Duration // on a worker at full speed near the data
	runs int
}

// recordRunTime takes in the run time of a task that is done.
func (e *Engine) recordRunTime(r *run, now time.Time) {
	if r.startedAt.IsZero() || r.task.checkpoint != "" {
		return
	}
	took := now.Sub(r.startedAt)
	l := e.runTimes[r.task.stage.job.Queue]
	if l == nil {
		l = &queueRunTime{mean: took}
		e.runTimes[r.task.stage.job.Queue] = l
	}
	l.runs++
	l.mean += time.Duration(newestRunWeight * float64(took-l.mean))
}

// expectedRunTime returns how long a task is expected to run. What callers estimate is
// used only until runs of the queue have been seen.
func (e *Engine) expectedRunTime(s *stage) time.Duration {
	if l := e.runTimes[s.job.Queue]; l != nil {
		return l.mean
	}
	if s.step.Estimate > 0 {
		return s.step.Estimate
	}
	return defaultRunTime
}

// longRunningTime stands in for the run time of work that ends only when it is cancelled.
const longRunningTime = 365 * 24 * time.Hour

// expectedOccupancy returns how long a task of the stage is expected to keep its room.
func (e *Engine) expectedOccupancy(s *stage) time.Duration {
	if s.step.LongRunning {
		return longRunningTime
	}
	return e.expectedRunTime(s)
}

// Progress that is enough to tell how long a run still takes.
const (
	minGainPercent = 3 // percent
	minGainTime    = 300 * time.Millisecond
)

// expectedRemaining returns how long a run is expected to go on. Its own progress tells
// more than the times of others.
func (e *Engine) expectedRemaining(r *run, now time.Time) time.Duration {
	expected := e.expectedOccupancy(r.task.stage)
	if r.task.stage.step.LongRunning || r.startedAt.IsZero() {
		return expected
	}
	gain, took := r.percent-r.firstPercent, r.progressAt.Sub(r.startedAt)
	left := expected - now.Sub(r.startedAt)
	if gain >= minGainPercent && took >= minGainTime {
		left = took*time.Duration(100-r.percent)/time.Duration(gain) - now.Sub(r.progressAt)
	}
	return max(left, expected/20)
}

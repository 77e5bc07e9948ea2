package job

import (
	"time"
)

// newestRunWeight is the weight of the newest run in the moving average, which so
// covers about ten runs.
const newestRunWeight = 0.1

// defaultRunTime is the expected run time without a measured or estimated one. The
// users' kinds of work take between 2 and 9 s.
const defaultRunTime = 5 * time.Second

// queueRunTime is the measured run time of a queue's tasks.
type queueRunTime struct {
	mean time.Duration // moving average, for a worker at full speed near the data
	runs int
}

// recordRunTime adds the run time of a completed task to the average of its queue.
// It ignores tasks with a checkpoint, whose last run may have done only a part.
func (e *Engine) recordRunTime(r *run, now time.Time) {
	if r.startedAt.IsZero() || r.task.checkpoint != "" {
		return
	}
	elapsed := now.Sub(r.startedAt)
	measured := e.runTimes[r.task.stage.job.Queue]
	if measured == nil {
		measured = &queueRunTime{mean: elapsed}
		e.runTimes[r.task.stage.job.Queue] = measured
	}
	measured.runs++
	measured.mean += time.Duration(newestRunWeight * float64(elapsed-measured.mean))
}

// expectedRunTime returns the expected run time of a task. The caller's estimate is
// used only until a run of the queue has been measured.
func (e *Engine) expectedRunTime(s *stage) time.Duration {
	if d, ok := e.knownRunTime(s); ok {
		return d
	}
	if measured := e.runTimes[s.job.Queue]; measured != nil {
		return measured.mean
	}
	if s.step.Estimate > 0 {
		return s.step.Estimate
	}
	return defaultRunTime
}

// longRunningTime is the expected run time of work that ends only when cancelled.
const longRunningTime = 365 * 24 * time.Hour

// expectedOccupancy returns how long a task of the stage is expected to occupy its
// resources.
func (e *Engine) expectedOccupancy(s *stage) time.Duration {
	if s.step.LongRunning {
		return longRunningTime
	}
	return e.expectedRunTime(s)
}

// Minimum progress of a run from which its remaining time is extrapolated.
const (
	minGainPercent = 3 // percent
	minGainTime    = 300 * time.Millisecond
)

// expectedRemaining returns how much longer a run is expected to take. The run's own
// progress is more accurate than the average of the queue.
func (e *Engine) expectedRemaining(r *run, now time.Time) time.Duration {
	expected := e.expectedOccupancy(r.task.stage)
	if r.task.stage.step.LongRunning || r.startedAt.IsZero() {
		return expected
	}
	if d, ok := e.knownRemaining(r, now); ok {
		return d
	}
	gain, elapsed := r.percent-r.firstPercent, r.progressAt.Sub(r.startedAt)
	left := expected - now.Sub(r.startedAt)
	if gain >= minGainPercent && elapsed >= minGainTime {
		left = elapsed*time.Duration(100-r.percent)/time.Duration(gain) - now.Sub(r.progressAt)
	}
	return max(left, expected/20)
}

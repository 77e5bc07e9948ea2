package job

import (
	"fmt"
	"time"
)

// Stall detection: a run that makes no progress is stopped.
const (
	// minStallTimeout is several report intervals of an agent.
	minStallTimeout = 2200 * time.Millisecond

	// maxStallIncrement bounds the stalled time that one report adds, because
	// the worker may have been suspended between two reports.
	maxStallIncrement = time.Second

	// completePercent is the progress of a run that has done all its work.
	completePercent = 100

	// longestRunFactor is the ratio of the longest to the mean run time.
	longestRunFactor = 10

	// stallPercent is how many percent of its work a run could do in the time
	// that it may show no progress.
	stallPercent = 2
)

// stallTimeout returns how long a run may show no progress. The time per percent
// comes from the run's own speed or, before it has made progress, from the longest
// run outside the rack of its data.
func (e *Engine) stallTimeout(r *run) time.Duration {
	timePerPercent := time.Duration(longestRunFactor*e.cfg.RackFactor*float64(e.expectedRunTime(r.task.stage))) / 100
	if gain := r.percent - r.firstPercent; gain > 0 {
		timePerPercent = r.progressAt.Sub(r.measuredFrom) / time.Duration(gain)
	}
	return minStallTimeout + stallPercent*timePerPercent
}

// checkStall stops a stalled run so that the task can run on another worker. It
// exempts long-running work, which shows no progress, and runs that continue after
// the worker has counted all their work as done.
func (e *Engine) checkStall(r *run, now time.Time) {
	if r.phase == stopping || r.task.stage.step.LongRunning || r.percent >= completePercent || r.stalledFor < e.stallTimeout(r) {
		return
	}
	j := r.task.stage.job
	e.recordDecision(Decision{Kind: "stalled", Job: j.ID, Task: r.task.id(), Run: r.number, Worker: r.worker.Node, Reason: fmt.Sprintf("no_progress:percent=%d", r.percent), Age: now.Sub(r.progressAt)})
	e.recordRunFailure(r, true, now)
	e.stopRunOrGang(r, stalledCause)
}

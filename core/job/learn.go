package job

import (
	"time"
)

// learnWeight is the share of the newest run in the moving average: about ten
// runs are remembered.
const learnWeight = 0.1

// defaultRunTime stands in where neither runs nor the caller tell of a run
// time; the users' kinds of work lie between 2 and 9 s.
const defaultRunTime = 5 * time.Second

// runTimes are the learned run times of a queue's tasks.
type runTimes struct {
	mean time.Duration // on a worker at full speed near the data
	runs int
}

// learn takes in the run time of a task that is done.
func (e *Engine) learn(r *run, now time.Time) {
	if r.began.IsZero() || r.task.checkpoint != "" {
		return
	}
	took := now.Sub(r.began)
	l := e.learned[r.task.stage.job.Queue]
	if l == nil {
		l = &runTimes{mean: took}
		e.learned[r.task.stage.job.Queue] = l
	}
	l.runs++
	l.mean += time.Duration(learnWeight * float64(took-l.mean))
}

// runTime returns how long a task is expected to run. What callers estimate is
// used only until runs of the queue have been seen.
func (e *Engine) runTime(s *stage) time.Duration {
	if l := e.learned[s.job.Queue]; l != nil {
		return l.mean
	}
	if s.step.Estimate > 0 {
		return s.step.Estimate
	}
	return defaultRunTime
}

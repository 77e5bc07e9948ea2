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

// forever stands in for the run time of work that ends only when it is cancelled.
const forever = 365 * 24 * time.Hour

// occupies returns how long a task of the stage is expected to keep its room.
func (e *Engine) occupies(s *stage) time.Duration {
	if s.step.LongRunning {
		return forever
	}
	return e.runTime(s)
}

// Progress that is enough to tell how long a run still takes.
const (
	leastGain = 3 // percent
	leastTime = 300 * time.Millisecond
)

// remaining returns how long a run is expected to go on. Its own progress tells
// more than the times of others.
func (e *Engine) remaining(r *run, now time.Time) time.Duration {
	expected := e.occupies(r.task.stage)
	if r.task.stage.step.LongRunning || r.began.IsZero() {
		return expected
	}
	gain, took := r.percent-r.first, r.progress.Sub(r.began)
	left := expected - now.Sub(r.began)
	if gain >= leastGain && took >= leastTime {
		left = took*time.Duration(100-r.percent)/time.Duration(gain) - now.Sub(r.progress)
	}
	return max(left, expected/20)
}

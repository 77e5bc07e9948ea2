package job

import (
	"time"
)

// knownRunTime returns the mean of the true run times of a stage's unfinished tasks on
// a worker of ordinary speed, if Config.Oracle knows them.
func (e *Engine) knownRunTime(s *stage) (time.Duration, bool) {
	if e.cfg.Oracle == nil {
		return 0, false
	}
	var total time.Duration
	n := 0
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		d, ok := e.cfg.Oracle(t.id(), "")
		if !ok {
			return 0, false
		}
		total += d
		n++
	}
	if n == 0 {
		return 0, false
	}
	return total / time.Duration(n), true
}

// knownRemaining returns how much longer a run takes on its worker, or on the slowest
// one of its gang, if Config.Oracle knows it.
func (e *Engine) knownRemaining(r *run, now time.Time) (time.Duration, bool) {
	if e.cfg.Oracle == nil {
		return 0, false
	}
	var whole time.Duration
	for _, t := range r.task.stage.tasks {
		if t != r.task && (!r.task.stage.step.Gang || t.run == nil) {
			continue
		}
		d, ok := e.cfg.Oracle(t.id(), t.run.worker.Node)
		if !ok {
			return 0, false
		}
		whole = max(whole, d)
	}
	left := whole*time.Duration(100-r.percent)/100 - now.Sub(r.progressAt)
	return max(left, 0), true
}

// knownSlowness returns the slowness of a worker, if Config.Oracle knows it.
func (e *Engine) knownSlowness(w *Worker) (float64, bool) {
	if e.cfg.Oracle == nil {
		return 0, false
	}
	for _, j := range e.jobList {
		for _, s := range j.stageList {
			ordinary, known := e.cfg.Oracle(s.tasks[0].id(), "")
			there, knownThere := e.cfg.Oracle(s.tasks[0].id(), w.Node)
			if known && knownThere && ordinary > 0 {
				return float64(there) / float64(ordinary), true
			}
		}
	}
	return 0, false
}

package job

import (
	"slices"
	"strconv"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/io/wire"
)

// estimatedWork describes the stage's tasks to Engine.speeds.
func (s *stage) estimatedWork() estimate.Work {
	if s.work.Step == "" {
		s.work = estimate.Work{
			Step:  s.job.ID + "/" + strconv.Itoa(s.key.occurrence) + "/" + strconv.Itoa(s.key.step),
			Queue: s.job.Queue, Customer: s.job.Customer, Image: s.step.Image, Tasks: s.step.Count,
			Demand: s.step.Demand, Gang: s.step.Gang, Estimate: s.step.Estimate,
		}
	}
	return s.work
}

// speedKey identifies the worker's lifetime in Engine.speeds.
func (w *Worker) speedKey() string {
	if w.speedID == "" {
		w.speedID = w.Node + " " + w.Instance + " " + strconv.FormatInt(w.Born, 10)
	}
	return w.speedID
}

// speedKey identifies the run in Engine.speeds. The members of a gang are one run.
func (r *run) speedKey() string {
	if r.speedID == "" {
		id := r.task.stage.estimatedWork().Step
		if !r.task.stage.step.Gang {
			id += "/" + strconv.Itoa(r.task.index)
		}
		r.speedID = id + "#" + strconv.Itoa(r.number)
	}
	return r.speedID
}

// members returns the runs of the run's gang, or the run alone.
func (r *run) members() []*run {
	s := r.task.stage
	if !s.step.Gang {
		return []*run{r}
	}
	members := make([]*run, 0, len(s.tasks))
	for _, t := range s.tasks {
		if t.run != nil && t.run.number == r.number {
			members = append(members, t.run)
		}
	}
	return members
}

func speedIDs(runs []*run) []string {
	ids := make([]string, len(runs))
	for i, r := range runs {
		ids[i] = r.worker.speedKey()
	}
	return ids
}

// observeProgress tells Engine.speeds of a run's progress. A gang is observed by its
// member that started last, since it makes no progress before.
func (e *Engine) observeProgress(r *run) {
	if r.phase == stopping || r.task.done || !e.tellsOfSpeed(r) {
		return
	}
	members := r.members()
	if lastStarted(members) != r || !r.regular(members) {
		return
	}
	e.speeds.Observe(estimate.Observation{
		Work: r.task.stage.estimatedWork(), Workers: speedIDs(members), Run: r.speedKey(),
		Elapsed: r.progressAt.Sub(r.measuredFrom), Share: r.shareDone(),
	})
}

// shareDone returns the share of the task's work that the run has done since
// measuredFrom. Workers round the percentage down, which matters only if the run began
// with nothing done.
func (r *run) shareDone() float64 {
	share := float64(r.percent-r.firstPercent) / completePercent
	if r.firstPercent == 0 && share > 0 {
		share += 0.5 / completePercent
	}
	return share
}

// observeEnd tells Engine.speeds how a run ended. The caller has not detached the run
// yet. Runs that failed or stalled tell nothing; those that were stopped for another
// reason count with what they have done. It returns the time of the whole work if the
// run has shown it.
func (e *Engine) observeEnd(r *run, how wire.RunEnd, now time.Time) time.Duration {
	switch {
	case how == wire.EndFailed || r.stopCause == stalledCause || r.irregular:
		e.discardObservation(r)
		return 0
	case how != wire.EndDone || r.task.done || !e.tellsOfSpeed(r):
		e.speeds.End(r.speedKey())
		return 0
	}
	members := r.members()
	last := lastStarted(members)
	if last == nil || last.resumed && last.firstPercent == 0 || !r.regular(members) {
		e.discardObservation(r)
		return 0
	}
	elapsed, share := now.Sub(last.measuredFrom), float64(completePercent-last.firstPercent)/completePercent
	e.speeds.Observe(estimate.Observation{
		Work: r.task.stage.estimatedWork(), Workers: speedIDs(members), Run: r.speedKey(),
		Elapsed: elapsed, Share: share, Finished: true,
	})
	e.speeds.End(r.speedKey()) // in case the observation was too short to count
	if share < minTimedShare {
		return 0
	}
	return time.Duration(float64(elapsed) / share)
}

// minTimedShare is the least share of its task's work from which a run tells how long
// the whole work takes.
const minTimedShare = 0.1

func (e *Engine) discardObservation(r *run) { e.speeds.Discard(r.speedKey()) }

// lastStarted returns the run that started last, or nil if not all have started.
func lastStarted(runs []*run) *run {
	var last *run
	for _, r := range runs {
		if r.startedAt.IsZero() {
			return nil
		}
		if last == nil || r.startedAt.After(last.startedAt) {
			last = r
		}
	}
	return last
}

// tellsOfSpeed reports whether the run's kind of work has a run time that depends on
// the step and the worker alone.
func (e *Engine) tellsOfSpeed(r *run) bool {
	step := r.task.stage.step
	return !e.cfg.Policy.NoSpeeds && !step.LongRunning && !step.UsesSpareCPU
}

// regular reports whether the runs of a gang, or the run alone, are near their data and
// on workers of which nothing suggests that they are disturbed.
func (r *run) regular(members []*run) bool {
	s := r.task.stage
	if s.step.Gang && len(members) < len(s.tasks) {
		return false
	}
	for _, m := range members {
		if m.irregular || !m.worker.health.isProven() {
			return false
		}
		if s.step.DataRack != "" && m.worker.Rack != s.step.DataRack || s.step.SameRack && m.worker.Rack != members[0].worker.Rack {
			return false
		}
	}
	return true
}

// stalledCause is the cause of the stop of a stalled run.
const stalledCause = "stalled"

// noteStall marks a run that makes progress again after it has shown none for half of
// the time after which it is stopped.
func (e *Engine) noteStall(r *run) {
	if !r.irregular && r.stalledFor > e.stallTimeout(r)/2 {
		r.irregular = true
		e.discardObservation(r)
	}
}

// noteCold marks a run on a cold worker. Cold workers are slower for a while, which says
// nothing of their speed afterwards.
func (e *Engine) noteCold(r *run) {
	if !r.irregular && r.worker.cold() {
		r.irregular = true
		e.discardObservation(r)
	}
}

// inheritSlowness makes what is known of the earlier lifetimes of a worker's VM, the
// oldest first, a weak prior for this one. Of equally certain priors the newest counts.
func (e *Engine) inheritSlowness(w *Worker, earlier []*Worker) {
	for _, other := range slices.Backward(earlier) {
		e.speeds.SetPrior(w.speedKey(), e.speeds.Slowness(other.speedKey()).NextLifetime())
		e.speeds.Forget(other.speedKey())
	}
}

// slownessOf returns what is known of the worker's speed, for its agent to keep.
func (e *Engine) slownessOf(w *Worker) *wire.WorkerSlowness {
	s := e.speeds.Slowness(w.speedKey())
	if e.cfg.Policy.NoSpeeds || !s.Valid() {
		return nil
	}
	return &wire.WorkerSlowness{Model: estimate.ModelVersion, Born: w.Born, Log: s.Log, Sigma: s.Sigma}
}

// restoreSlowness makes what an agent has kept of its worker a prior. It is a weak one
// if it was learned in an earlier lifetime.
func (e *Engine) restoreSlowness(w *Worker, kept *wire.WorkerSlowness) {
	if kept == nil || kept.Model != estimate.ModelVersion {
		return
	}
	s := estimate.Slowness{Log: kept.Log, Sigma: kept.Sigma}
	if kept.Born != w.Born {
		s = s.NextLifetime()
	}
	e.speeds.SetPrior(w.speedKey(), s)
}

package estimate

import (
	"math"
	"slices"
	"time"
)

// run is the factor of one run in the model: what it tells of its step and of each of
// its workers.
type run struct {
	id        string
	step      *step
	workers   []*worker
	toStep    gaussian
	toWorkers []gaussian
	logTime   float64 // logarithm of the time for the whole work, in seconds
	variance  float64 // of logTime beyond that of the tasks of a step
	finished  bool
	used      uint64
}

// Limits of what counts as an observation.
const (
	minProgressTime  = 300 * time.Millisecond
	minProgressShare = 0.04

	// minFinishedShare excludes runs that resumed close to their end, whose time
	// is mostly that of starting and stopping.
	minFinishedShare = 0.1
	minFinishedTime  = 20 * time.Millisecond
)

const (
	// progressVariance is that of a run's time as predicted from its progress
	// alone. It falls with the share that is left. Runs progress at a nearly
	// constant pace.
	progressVariance = 0.12 * 0.12

	// roundingError is the standard deviation of a share computed from whole
	// percentages. Runs that start together are rounded alike, so it exceeds that
	// of independent errors.
	roundingError = 0.006

	// timingError is the standard deviation of an elapsed time, in seconds: that
	// of the times between a worker's listing and its processing.
	timingError = 0.015
)

// refreshedRuns is the number of other runs of the step, and of the workers, whose
// factors are refreshed at each observation.
const refreshedRuns = 3

// maxStepRuns is the number of a step's runs that are refreshed.
const maxStepRuns = 64

// Observe updates the model with a run. It ignores observations that are invalid, or
// too short to tell anything.
func (e *Estimator) Observe(o Observation) {
	share := min(o.Share, 1)
	minTime, minShare := minProgressTime, minProgressShare
	if o.Finished {
		minTime, minShare = minFinishedTime, minFinishedShare
	}
	if len(o.Workers) == 0 || o.Elapsed < minTime || !(share >= minShare) { // false for NaN, too
		return
	}
	e.observed++
	e.version++
	r := e.runOf(&o)
	if r.finished {
		return
	}
	r.logTime = math.Log(o.Elapsed.Seconds() / share)
	rounding, timing := roundingError/share, timingError/o.Elapsed.Seconds()
	r.variance = rounding*rounding + timing*timing
	if !o.Finished {
		r.variance += progressVariance * (1 - share)
	}
	res := e.update(r)
	if o.Finished && !r.finished {
		e.recordResult(r, res)
		e.finish(r)
	}
	e.refresh(r)
	e.learnStep(r.step)
	if e.observed%max(populationInterval, uint64(len(e.workers))) == 0 || e.observed < populationInterval {
		e.learnPopulation()
	}
}

// refresh updates the factors of some runs of the same step and workers. They were
// computed with less knowledge of both.
func (e *Estimator) refresh(r *run) {
	for range min(refreshedRuns, len(r.step.runs)-1) {
		r.step.next = (r.step.next + 1) % len(r.step.runs)
		e.update(r.step.runs[r.step.next])
	}
	for i := range min(refreshedRuns, len(r.workers)) {
		w := r.workers[(int(e.observed%uint64(len(r.workers)))+i)%len(r.workers)]
		if len(w.runs) == 0 { // finish has folded r
			continue
		}
		w.next = (w.next + 1) % len(w.runs)
		if other := w.runs[w.next]; other.step != r.step {
			e.update(other)
			e.learnStep(other.step)
		}
	}
}

// End tells that a run has ended without being done, such as by preemption. What it has
// shown still counts.
func (e *Estimator) End(id string) {
	e.version++
	if r := e.runs[id]; r != nil && !r.finished {
		e.finish(r)
	}
}

// Discard withdraws what a run has shown, because it does not represent its step or
// its workers.
func (e *Estimator) Discard(id string) {
	e.version++
	r := e.runs[id]
	if r == nil || r.finished {
		return
	}
	r.step.current = r.step.current.over(r.toStep)
	r.toStep = gaussian{}
	for i, w := range r.workers {
		w.current = w.current.over(r.toWorkers[i])
		r.toWorkers[i] = gaussian{}
	}
	e.learnStep(r.step)
	e.fold(r)
}

func (e *Estimator) runOf(o *Observation) *run {
	r := e.runs[o.Run]
	if r != nil && r.step == e.steps[o.Work.Step] {
		r.used, r.step.used = e.nextUse(), e.nextUse()
		return r
	}
	if r != nil {
		e.fold(r)
	}
	r = &run{id: o.Run, step: e.stepOf(&o.Work), used: e.nextUse()}
	ids := slices.Clone(o.Workers)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		w := e.workerOf(id)
		w.runs = append(w.runs, r)
		r.workers = append(r.workers, w)
	}
	r.toWorkers = make([]gaussian, len(r.workers))
	r.step.runs = append(r.step.runs, r)
	e.runs[o.Run] = r
	for _, old := range evictOldest(e.runs, e.cfg.MaxRuns, func(r *run) uint64 { return r.used }) {
		e.fold(old)
	}
	if len(r.step.runs) > maxStepRuns {
		if i := slices.IndexFunc(r.step.runs, func(r *run) bool { return r.finished }); i >= 0 {
			e.fold(r.step.runs[i])
		}
	}
	return r
}

// result is how a run compares to what was expected of it.
type result struct {
	residual    float64 // of the logarithm
	variance    float64 // expected of it
	noise       float64 // part of variance that is of the run alone
	credibility float64 // probability that the run is no outlier
	slowest     int     // index of the member that was expected to be the slowest
}

// update computes the factor of a run anew, from all that is known without it.
func (e *Estimator) update(r *run) result {
	level := r.step.level().over(r.toStep).moments()
	members := make([]moments, len(r.workers))
	slowest := 0
	for i, w := range r.workers {
		members[i] = e.factor(w).over(r.toWorkers[i]).moments()
		if members[i].mean > members[slowest].mean {
			slowest = i
		}
	}
	pace, others := maxOfOthers(members)
	own := e.noise.variance() + r.variance
	res := result{residual: r.logTime - level.mean - pace.mean, variance: level.variance + pace.variance + own, noise: own, slowest: slowest}
	res.credibility = credibility(res.residual, res.variance)
	effective := 1 / (res.credibility/own + (1-res.credibility)/(own+outlierVariance))

	toStep := normal(r.logTime-pace.mean, pace.variance+effective)
	r.step.current = r.step.current.over(r.toStep).times(toStep)
	r.toStep = toStep
	observed := moments{mean: r.logTime - level.mean, variance: level.variance + effective}
	for i, w := range r.workers {
		to := normal(observed.mean, observed.variance)
		if len(r.workers) > 1 {
			to = factorOf(givenMax(members[i], others[i], observed), members[i])
		}
		w.current = w.current.over(r.toWorkers[i]).times(to)
		r.toWorkers[i] = to
	}
	return res
}

// factorOf returns the factor that takes the moments from before to after. It tells
// nothing if it would increase the variance, which a mixture can.
func factorOf(after, before moments) gaussian {
	f := normal(after.mean, max(after.variance, minVariance)).over(normal(before.mean, before.variance))
	if f.precision <= 0 {
		return gaussian{}
	}
	return f
}

// recordResult learns from the end of a run.
func (e *Estimator) recordResult(r *run, res result) {
	deviation := res.residual / math.Sqrt(res.variance)
	if len(r.workers) == 1 {
		e.noise.record(res)
		r.workers[0].alone++
	}
	for i, w := range r.workers {
		if deviation >= -changeDeviation || i == res.slowest { // a fast gang tells how fast its slowest member is
			e.recordDeviation(w, deviation)
		}
	}
}

// finish marks a run as ended and folds the oldest ended runs of its workers.
func (e *Estimator) finish(r *run) {
	r.finished = true
	for _, w := range r.workers {
		n, oldest := 0, (*run)(nil)
		for _, other := range w.runs {
			if !other.finished {
				continue
			}
			if oldest == nil {
				oldest = other
			}
			n++
		}
		if n > keptRuns {
			e.fold(oldest)
		}
	}
}

// fold adds the factor of a run to those of its step and workers and forgets the run.
// Each worker's older runs lose weight in proportion to what this one tells.
func (e *Estimator) fold(r *run) {
	isRun := func(other *run) bool { return other == r }
	r.step.current, r.step.folded = r.step.current.over(r.toStep), r.step.folded.times(r.toStep)
	r.step.runs = slices.DeleteFunc(r.step.runs, isRun)
	for i, w := range r.workers {
		to := r.toWorkers[i]
		w.current = w.current.over(to)
		lost := (1 - runRetention) * min(to.precision*e.noise.variance(), 1)
		w.folded, w.given = w.folded.tempered(1-lost).times(to), w.given.tempered(1-lost)
		w.runs = slices.DeleteFunc(w.runs, isRun)
		if w.given.precision < 1/maxWorkerVariance {
			w.given = gaussian{}
		}
	}
	if e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

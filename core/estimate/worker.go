package estimate

import (
	"math"
	"slices"
)

// ModelVersion is the version of the model. Factors of another version mean something
// else.
const ModelVersion = 1

// Slowness is the factor by which the runs of a worker take longer than those of the
// median worker: its natural logarithm and the standard deviation of that.
type Slowness struct{ Log, Sigma float64 }

// Limits of a factor that is accepted from elsewhere.
const (
	maxSlownessLog   = 3.0 // a factor of 20
	maxSlownessSigma = 3.0
	minSlownessSigma = 0.05
)

// Valid reports whether the values are finite and in range.
func (s Slowness) Valid() bool {
	return math.Abs(s.Log) <= maxSlownessLog && s.Sigma > 0 && s.Sigma <= maxSlownessSigma
}

// lifetimeVariance is added when a worker starts again: what it runs on has probably
// not changed.
const lifetimeVariance = 0.3 * 0.3

// NextLifetime returns what the factor says of a new lifetime of the worker.
func (s Slowness) NextLifetime() Slowness {
	return Slowness{Log: s.Log, Sigma: min(math.Sqrt(s.Sigma*s.Sigma+lifetimeVariance), maxSlownessSigma)}
}

const (
	// workerVariance is the variance of the workers' s until it is learned.
	workerVariance = 0.5 * 0.5

	// minWorkerVariance bounds the learned variance from below, so that a single
	// worker can still differ from the others.
	minWorkerVariance = 0.07 * 0.07
	maxWorkerVariance = 0.7 * 0.7

	// workerVarianceWeight is the number of workers that workerVariance counts for
	// in the learned value.
	workerVarianceWeight = 1

	// minAloneRuns is the number of runs outside a gang from which a worker counts
	// in the learned variance. Results of gangs alone are explained as well by
	// steps that differ as by workers that do.
	minAloneRuns = 3

	// gangVariance bounds from below the stated variance of a worker that has run
	// hardly anything but gangs. The approximation can hold a wrong explanation of
	// their results for certain: errors of 0.4 were seen at a computed standard
	// deviation of 0.08.
	gangVariance = 0.2 * 0.2

	// populationInterval is the least number of observations after which the median
	// and the variance of all workers are computed anew. It is at least the number
	// of workers, so that the cost per observation does not grow with them.
	populationInterval = 32

	// keptRuns is the number of ended runs of a worker whose part in its factor is
	// still refreshed. Older ones lose weight.
	keptRuns = 20

	// runRetention is the weight that older runs keep with each further one.
	runRetention = 0.85

	// A worker has probably changed after changeRuns runs in a row that deviate
	// to the same side by more than changeDeviation standard deviations: chance
	// does this about once in 1,700 runs.
	changeRuns      = 3
	changeDeviation = 1.5

	// changeRetention is the weight that runs before a change keep.
	changeRetention = 0.05
)

// worker is what is known of one worker's s.
type worker struct {
	given    gaussian // from SetPrior; zero if there is none
	variance float64  // of its prior since it has changed; 0 before
	folded   gaussian
	current  gaussian
	runs     []*run // the oldest first
	next     int    // index of the run to refresh next
	streak   int    // runs in a row that deviated, negative if they were fast
	alone    int    // ended runs outside a gang
	used     uint64
}

func (e *Estimator) workerOf(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{used: e.nextUse()}
		e.workers[id] = w
		evictOldest(e.workers, e.cfg.MaxWorkers, func(w *worker) uint64 { return w.used })
	}
	w.used = e.nextUse()
	return w
}

// factor returns what is known of the worker's s, which may be nil.
func (e *Estimator) factor(w *worker) gaussian {
	if w == nil {
		return normal(0, e.prior)
	}
	prior := w.given
	if prior.precision == 0 {
		prior = normal(0, max(e.prior, w.variance))
	}
	return prior.times(w.folded).times(w.current)
}

func (w *worker) observed() bool { return len(w.runs) > 0 || w.folded.precision > 0 }

// Slowness returns the factor of a worker relative to the median of the workers of
// which a run has been observed.
func (e *Estimator) Slowness(id string) Slowness {
	w := e.workers[id]
	m := e.factor(w).moments()
	if w != nil && w.alone < minAloneRuns && w.given.precision < 1/gangVariance {
		m.variance = max(m.variance, gangVariance)
	}
	return Slowness{Log: m.mean - e.median, Sigma: math.Sqrt(m.variance)}
}

// SetPrior sets what is known of a worker from an earlier scheduler or an earlier
// lifetime. It has no effect once a run of the worker has been observed, if more has
// been set before, or if the values are out of range or tell no more than the default.
func (e *Estimator) SetPrior(id string, s Slowness) {
	w := e.workers[id]
	if !s.Valid() || s.Sigma*s.Sigma >= workerVariance || w != nil && w.observed() {
		return
	}
	sigma := max(s.Sigma, minSlownessSigma)
	given := normal(s.Log+e.median, sigma*sigma)
	if w != nil && w.given.precision >= given.precision {
		return
	}
	e.workerOf(id).given = given
	e.version++
}

// Forget removes a worker that no longer exists.
func (e *Estimator) Forget(id string) {
	e.version++
	delete(e.workers, id)
}

// recordDeviation counts runs in a row that deviate from what was expected of their
// worker, and discounts earlier runs if the worker seems to have changed.
func (e *Estimator) recordDeviation(w *worker, deviation float64) {
	switch {
	case deviation > changeDeviation:
		w.streak = max(w.streak, 0) + 1
	case deviation < -changeDeviation:
		w.streak = min(w.streak, 0) - 1
	default:
		w.streak = 0
	}
	if max(w.streak, -w.streak) < changeRuns {
		return
	}
	for _, r := range slices.Clone(w.runs[:max(len(w.runs)-changeRuns, 0)]) {
		if r.finished {
			e.fold(r)
		}
	}
	w.streak, w.variance = 0, workerVariance
	w.given, w.folded = w.given.tempered(changeRetention), w.folded.tempered(changeRetention)
	if w.given.precision < 1/maxWorkerVariance {
		w.given = gaussian{}
	}
}

// learnPopulation computes the median and the variance of the workers that have been
// observed or have a prior.
func (e *Estimator) learnPopulation() {
	var means, squares []float64
	for _, w := range e.workers {
		if w.observed() || w.given.precision > 0 {
			m := e.factor(w).moments()
			means = append(means, m.mean)
			if w.alone >= minAloneRuns {
				squares = append(squares, m.mean*m.mean+m.variance)
			}
		}
	}
	slices.Sort(means)
	slices.Sort(squares) // the rounding of the sum must not depend on the map's order
	sum := workerVarianceWeight * workerVariance
	for _, x := range squares {
		sum += x
	}
	e.prior = min(max(sum/float64(workerVarianceWeight+len(squares)), minWorkerVariance), maxWorkerVariance)
	if n := len(means); n > 0 {
		e.median = (means[(n-1)/2] + means[n/2]) / 2
	}
}

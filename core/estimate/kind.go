package estimate

import (
	"math"
	"math/bits"
	"time"

	"bramleythread/io/wire"
)

// Work describes the tasks of a step.
type Work struct {
	Step     string // unique id
	Queue    string
	Customer string
	Image    string
	Tasks    int
	Demand   wire.Resources
	Gang     bool
	Estimate time.Duration // of the caller; 0 if there is none
}

// kindLevels is the number of kinds that a step belongs to, from the coarsest to the
// finest.
const kindLevels = 4

// kind identifies steps that resemble each other.
type kind struct {
	level    int
	queue    string
	image    string
	demand   wire.Resources
	customer string
	size     int // of the number of tasks, its bits
	gang     bool
}

// kinds returns the kinds of the work: all work, its queue, then with its image and
// demand, then with its customer and size.
func (w *Work) kinds() [kindLevels]kind {
	return [kindLevels]kind{
		{},
		{level: 1, queue: w.Queue},
		{level: 2, queue: w.Queue, image: w.Image, demand: w.Demand},
		{level: 3, queue: w.Queue, image: w.Image, demand: w.Demand, customer: w.Customer, size: bits.Len(uint(max(w.Tasks, 0))), gang: w.Gang},
	}
}

// Prior knowledge of run times, as variances of logarithms.
const (
	// defaultRunTime is the expected run time when nothing is known. The users'
	// kinds of work take between 2 and 9 s.
	defaultRunTime = 5 * time.Second

	defaultVariance = 3 * 3     // of the mean of all work; weak, so that an estimate outweighs it
	defaultSpread   = 0.5 * 0.5 // of the steps of one kind

	estimateBiasVariance = 0.5 * 0.5 // of the mean error of a queue's estimates
	estimateSpread       = 0.7 * 0.7 // of the errors; the users' are between 0.5 and 0.9
)

// betweenKinds are the variances of the means of the kinds of each level.
var betweenKinds = [kindLevels]float64{0, 0.5 * 0.5, 0.3 * 0.3, 0.2 * 0.2}

// distributions returns what is known of the steps of each of the work's kinds.
func (e *Estimator) distributions(w *Work) [kindLevels]distribution {
	var all [kindLevels]distribution
	d := distribution{mean: math.Log(defaultRunTime.Seconds()), meanVariance: defaultVariance, spread: defaultSpread}
	for i, k := range w.kinds() {
		d = e.kinds[k].refine(d, betweenKinds[i])
		all[i] = d
	}
	return all
}

// estimateErrors returns the distribution of the logarithmic errors of a queue's
// estimates.
func (e *Estimator) estimateErrors(queue string) distribution {
	return e.estimates[queue].refine(distribution{spread: estimateSpread}, estimateBiasVariance)
}

// Bounds of estimates. Others are ignored.
const (
	minEstimate = time.Millisecond
	maxEstimate = 30 * 24 * time.Hour
)

func (w *Work) hasEstimate() bool { return w.Estimate >= minEstimate && w.Estimate <= maxEstimate }

// stepPrior returns what is known of a step before any of its tasks has run.
func (e *Estimator) stepPrior(w *Work) gaussian {
	m := e.distributions(w)[kindLevels-1].predictive()
	prior := normal(m.mean, m.variance)
	if w.hasEstimate() {
		errs := e.estimateErrors(w.Queue).predictive()
		prior = prior.times(normal(math.Log(w.Estimate.Seconds())-errs.mean, errs.variance))
	}
	return prior
}

// withdrawSamples removes the step from the distributions, so that these tell what is
// known of it without its own runs.
func (s *step) withdrawSamples() {
	for i, t := range s.tallies {
		if t != nil {
			s.samples[i] = t.replace(s.samples[i], 0, 0, distribution{spread: 1})
		}
	}
	if s.estimateTally != nil {
		s.estimateSample = s.estimateTally.replace(s.estimateSample, 0, 0, distribution{spread: 1})
	}
}

// learnStep updates the distributions of the step's kinds, and of its queue's
// estimates, from what its runs have shown.
func (e *Estimator) learnStep(s *step) {
	s.withdrawSamples()
	known := s.evidence()
	if known.precision <= minVariance {
		return
	}
	m := known.moments()
	weight := defaultSpread / (defaultSpread + m.variance)
	distributions, errs := e.distributions(&s.work), e.estimateErrors(s.work.Queue)
	s.prior = e.stepPrior(&s.work)
	for i, k := range s.work.kinds() {
		t := e.kinds[k]
		if t == nil {
			t = newTally()
			t.used = e.nextUse()
			e.kinds[k] = t
			evictOldest(e.kinds, e.cfg.MaxKinds, func(t *tally) uint64 { return t.used })
		}
		t.used = e.nextUse()
		if s.tallies[i] != t {
			s.tallies[i], s.samples[i] = t, sample{}
		}
		s.samples[i] = t.replace(s.samples[i], m.mean, weight, distributions[i])
	}
	if !s.work.hasEstimate() {
		return
	}
	t := e.estimates[s.work.Queue]
	if t == nil {
		t = newTally()
		t.used = e.nextUse()
		e.estimates[s.work.Queue] = t
		evictOldest(e.estimates, e.cfg.MaxKinds, func(t *tally) uint64 { return t.used })
	}
	t.used = e.nextUse()
	if s.estimateTally != t {
		s.estimateTally, s.estimateSample = t, sample{}
	}
	s.estimateSample = t.replace(s.estimateSample, math.Log(s.work.Estimate.Seconds())-m.mean, weight, errs)
}

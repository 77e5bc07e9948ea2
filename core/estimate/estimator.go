// Package estimate learns the run times of work and the speeds of workers.
//
// The model is log T = u + s + noise: u belongs to a step, whose tasks resemble each
// other, and s to a worker. A gang runs at the pace of its slowest member, so s is the
// maximum of its members' there. Each run is one factor of the model; the factors are
// approximated by normal distributions (expectation propagation), so that a run's part
// in what is known of its step and workers can be replaced while the run goes on.
//
// It addresses loads with workers of different speeds, inaccurate estimates and
// run times that vary within a queue. It has no clock, network access or goroutine.
package estimate

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config bounds the state of an Estimator. The entries that were used longest ago are
// evicted. A limit of 0 means its default.
type Config struct {
	MaxWorkers int
	MaxSteps   int
	MaxKinds   int
	MaxRuns    int
}

// Default limits. The users' largest site has 7,900 agents.
const (
	defaultMaxWorkers = 10000
	defaultMaxSteps   = 2000
	defaultMaxKinds   = 1000
	defaultMaxRuns    = 20000
)

// Observation is what one run shows, until it ends or so far.
type Observation struct {
	Work     Work
	Workers  []string      // of all members of a gang, or of the one task
	Elapsed  time.Duration // time in which Share was done
	Share    float64       // of the whole work of the task, 0 to 1
	Finished bool
	Run      string // id of the run; a later observation of the same run replaces the earlier one
}

// Estimator is the state of the model. It is not safe for concurrent use.
type Estimator struct {
	cfg       Config
	workers   map[string]*worker
	steps     map[string]*step
	runs      map[string]*run
	kinds     map[kind]*tally
	estimates map[string]*tally // by queue; logarithmic errors of callers' estimates
	observed  uint64            // number of observations
	version   uint64            // changes with all that forecasts depend on
	uses      uint64            // number of uses of entries, by which the oldest are found
	median    float64           // of the workers' s, for reports and for forecasts without a worker
	prior     float64           // variance of the workers' s
	noise     noise
}

// New returns an estimator that knows nothing.
func New(cfg Config) *Estimator {
	cfg.MaxWorkers = cmp.Or(cfg.MaxWorkers, defaultMaxWorkers)
	cfg.MaxSteps = cmp.Or(cfg.MaxSteps, defaultMaxSteps)
	cfg.MaxKinds = cmp.Or(cfg.MaxKinds, defaultMaxKinds)
	cfg.MaxRuns = cmp.Or(cfg.MaxRuns, defaultMaxRuns)
	return &Estimator{
		cfg: cfg, workers: make(map[string]*worker), steps: make(map[string]*step), runs: make(map[string]*run),
		kinds: make(map[kind]*tally), estimates: make(map[string]*tally), prior: workerVariance,
	}
}

// Version changes whenever forecasts may change, so that callers can keep them until
// then.
func (e *Estimator) Version() uint64 { return e.version }

// step is what is known of one step.
type step struct {
	work    Work
	prior   gaussian
	folded  gaussian // of runs that are no longer kept
	current gaussian // of those in runs
	runs    []*run   // the oldest first
	next    int      // index of the run to refresh next
	used    uint64

	tallies        [kindLevels]*tally
	samples        [kindLevels]sample
	estimateTally  *tally
	estimateSample sample
}

func (s *step) evidence() gaussian { return s.folded.times(s.current) }
func (s *step) level() gaussian    { return s.prior.times(s.evidence()) }

func (e *Estimator) stepOf(w *Work) *step {
	s := e.steps[w.Step]
	if s == nil {
		s = &step{work: *w, prior: e.stepPrior(w), used: e.nextUse()}
		e.steps[w.Step] = s
		for _, old := range evictOldest(e.steps, e.cfg.MaxSteps, func(s *step) uint64 { return s.used }) {
			for _, r := range slices.Clone(old.runs) {
				e.fold(r)
			}
		}
	}
	s.used = e.nextUse()
	return s
}

// nextUse returns a number that is unique, so that evictions do not depend on the
// order of a map.
func (e *Estimator) nextUse() uint64 {
	e.uses++
	return e.uses
}

// evictOldest removes the entries that were used longest ago if there are more than
// limit, an eighth of them at a time, so that its cost per entry is small. It returns
// them, the oldest first.
func evictOldest[K comparable, V any](entries map[K]V, limit int, used func(V) uint64) []V {
	if len(entries) <= limit {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b K) int { return cmp.Compare(used(entries[a]), used(entries[b])) })
	var evicted []V
	for _, k := range keys[:max(len(entries)-limit, limit/8)] {
		evicted = append(evicted, entries[k])
		delete(entries, k)
	}
	return evicted
}

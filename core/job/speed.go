package job

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedClassWidth is the width of a speed class in natural logarithms of the
	// slowness: workers that differ by less than a fifth are treated alike.
	speedClassWidth = 0.25

	// minSpeedRatio is the ratio between the slowest and the fastest worker from which
	// on speeds matter to placement. Smaller differences are within the spread of run
	// times, and the shape of the free room matters more.
	minSpeedRatio = 2.0

	// maxKnownSigma is the standard deviation of a slowness, as a logarithm, up to
	// which it counts as known. Two or three runs lead there.
	maxKnownSigma = 0.25

	// slackShare is the share of the allowed slowness that workers may have. The rest
	// covers the error of the forecast.
	slackShare = 0.85

	// maxSpeedWait bounds the wait of urgent work for faster workers. Urgent work within
	// a guarantee must start within a few seconds, and the wait may be followed by a
	// preemption.
	maxSpeedWait = 1200 * time.Millisecond

	// startDelay is the time from a placement to the start of its runs, and from their
	// end to the moment when callers see it: transactions and messages.
	startDelay = 150 * time.Millisecond
)

// speed is what is known of a worker's speed in one tick.
type speed struct {
	slowness float64 // factor of run times relative to a worker of median speed
	class    int     // equal for workers of like speed, lower for faster ones
}

// unknownSpeed is the class of workers of unknown speed, whose slowness is 1.
const unknownSpeed = math.MaxInt

// speedOf returns what is known of the worker's speed. A difference that is smaller than
// its uncertainty counts as none, so that equal workers are treated alike.
func (e *Engine) speedOf(w *Worker) speed {
	if e.cfg.Policy.NoSpeeds {
		return speed{slowness: 1}
	}
	if slowness, ok := e.knownSlowness(w); ok {
		return speed{slowness: slowness, class: speedClass(math.Log(slowness))}
	}
	s := e.speeds.Slowness(w.speedKey())
	switch {
	case s.Sigma > maxKnownSigma:
		return speed{slowness: 1, class: unknownSpeed}
	case math.Abs(s.Log) <= s.Sigma:
		return speed{slowness: 1}
	default:
		return speed{slowness: math.Exp(s.Log), class: speedClass(s.Log)}
	}
}

// speedClass returns the class of a slowness, given as its natural logarithm.
func speedClass(logSlowness float64) int { return int(math.Round(logSlowness / speedClassWidth)) }

// updateSpeeds reads the speeds of all workers for one tick.
func (e *Engine) updateSpeeds() {
	slowest, fastest := math.Inf(-1), math.Inf(1)
	for _, w := range e.sortedWorkers {
		w.speed = e.speedOf(w)
		slowest, fastest = max(slowest, w.speed.slowness), min(fastest, w.speed.slowness)
	}
	e.speedsDiffer = slowest > fastest*minSpeedRatio
}

// allowedSlowness returns the slowness up to which a worker finishes the stage's tasks
// safely within the objective of their job, if they start now. Later steps of the job
// keep their share of the objective.
func (e *Engine) allowedSlowness(s *stage, now time.Time) float64 {
	run := e.expectedRunTime(s)
	if run <= 0 || s.step.LongRunning {
		return math.Inf(1)
	}
	laterSteps := time.Duration(len(s.job.Steps)-1-s.key.step) * run
	left := s.dueTime().Add(e.objective(s.job)).Sub(now) - startDelay - laterSteps
	return slackShare * float64(left) / float64(run)
}

// limitSlowness decides in this tick which workers are fast enough for the stage. It
// answers a load of urgent work on workers of unequal speed: work that a slow worker
// would finish too late waits for faster workers, or preempts less urgent work there,
// if it then finishes in time or at least earlier.
func (e *Engine) limitSlowness(s *stage, n int, now time.Time) {
	s.maxSlowness, s.waitsForSpeed = 0, false
	if !e.speedsDiffer || s.step.LongRunning || s.job.Priority == 0 && now.Sub(s.firstReadyAt()) > maxSpeedWait {
		return
	}
	allowed := e.allowedSlowness(s, now)
	if allowed < 1 || !slices.ContainsFunc(e.sortedWorkers, func(w *Worker) bool { return w.speed.slowness > allowed && e.eligible(w, s, now) }) {
		return
	}
	anyWorker := e.earliestFinish(s, n, now)
	s.maxSlowness = allowed
	limited := e.earliestFinish(s, n, now)
	switch {
	case limited.IsZero():
		s.maxSlowness = 0
	case !limited.After(s.dueTime().Add(e.objective(s.job))):
		s.waitsForSpeed = true
	case !e.preemptsForSpeed(s, n, now) && !limited.Before(anyWorker):
		s.maxSlowness = 0
	}
}

// firstReadyAt returns when the stage's tasks could first be placed. For the first step
// that is the acceptance of the job, since the guarantee counts from there and the stage
// may have been created later, by a new scheduler.
func (s *stage) firstReadyAt() time.Time {
	if len(s.step.After) == 0 {
		return s.dueTime()
	}
	return s.readyAt
}

// preemptsForSpeed reports whether the stage can make room on faster workers by stopping
// less urgent work that loses less than the stage's own work.
func (e *Engine) preemptsForSpeed(s *stage, n int, now time.Time) bool {
	if s.job.Priority > 0 || s.heldTasks != nil || e.cfg.Policy.NoReclaim {
		return false
	}
	stoppable, _ := e.stoppableFor(s, now)
	plan := e.cheapestPreemption(s, n, stoppable, now)
	return plan != nil && plan.lostWork <= e.workOf(s, n)
}

// earliestFinish returns when n tasks of the stage would end if they waited for room on
// the workers that it accepts, or the zero time if they never fit there.
func (e *Engine) earliestFinish(s *stage, n int, now time.Time) time.Time {
	var earliest time.Time
	run := float64(e.expectedRunTime(s))
	for _, set := range e.workerSets(s, now) {
		r := e.earliestReservation(s, set, n, now)
		if r == nil {
			continue
		}
		pace := 0.0
		for w := range r.tasksPerWorker {
			pace = max(pace, w.speed.slowness)
		}
		if end := r.startAt.Add(time.Duration(run * pace)); earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	return earliest
}

// acceptsSpeed reports whether the worker is fast enough for the stage in this tick.
func (s *stage) acceptsSpeed(w *Worker) bool {
	return s.maxSlowness == 0 || w.speed.slowness <= s.maxSlowness
}

// speedOrder returns a function that ranks speed classes in the order in which the stage
// takes their workers. It answers a mix of work with and without slack: work with slack
// goes to workers of unknown speed, which it makes known, then to the slowest ones that
// are fast enough, and so leaves the fastest ones to work without slack. That takes the
// fastest known workers first, because its run time may exceed the forecast.
func (e *Engine) speedOrder(s *stage, now time.Time) func(class int) int {
	allowed := math.Inf(1)
	if !s.step.LongRunning {
		allowed = e.allowedSlowness(s, now)
	}
	slack := allowed > riskySlowness
	return func(class int) int {
		switch {
		case class == unknownSpeed && slack:
			return -maxSpeedClass
		case class == unknownSpeed:
			return maxSpeedClass
		case math.Exp(float64(class)*speedClassWidth) > allowed:
			return 2*maxSpeedClass + class
		case slack:
			return -class
		default:
			return class
		}
	}
}

const (
	// riskySlowness is the slowness that a worker of unknown speed may well have.
	riskySlowness = 2.0

	// maxSpeedClass is greater than any known speed class.
	maxSpeedClass = 1000
)

// bySpeed divides candidates into sets in which a gang is tried, in this order: each
// class of workers of like speed by itself, since the slowest member of a gang sets its
// pace and wastes the speed of the others, then the classes together, from the preferred
// ones on.
func (e *Engine) bySpeed(s *stage, c []candidate, now time.Time) [][]candidate {
	if !e.speedsDiffer {
		return nil
	}
	byClass := make(map[int][]candidate)
	var classes []int
	for _, x := range c {
		class := x.w.speed.class
		if byClass[class] == nil {
			classes = append(classes, class)
		}
		byClass[class] = append(byClass[class], x)
	}
	order := e.speedOrder(s, now)
	slices.SortFunc(classes, func(a, b int) int { return cmp.Compare(order(a), order(b)) })
	var sets [][]candidate
	for _, class := range classes {
		sets = append(sets, byClass[class])
	}
	var union []candidate
	for _, class := range classes {
		union = append(slices.Clone(union), byClass[class]...)
		sets = append(sets, union)
	}
	return sets
}

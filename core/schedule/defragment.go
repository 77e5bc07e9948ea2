package schedule

import (
	"cmp"
	"slices"
	"time"
)

// clearPlan says how to make room for one large job: the workers to reserve for it
// and the jobs that must be preempted on them.
type clearPlan struct {
	workers []*Worker
	moves   []*Job
	cost    time.Duration // estimated time until the workers are free
}

// defragment preempts the jobs that must move off the workers reserved for a large
// job. They are placed elsewhere.
func (s *Scheduler) defragment(c clearPlan, decisions []Decision) []Decision {
	for _, v := range c.moves {
		decisions = append(decisions, s.preempt(v, "makes_room_for_large_job"))
	}
	return decisions
}

// planClearing returns the cheapest plan to clear workers of one group for a job.
// ok is false if there is none.
func (s *Scheduler) planClearing(j *Job, group []*Worker, now time.Time) (clearPlan, bool) {
	type option struct {
		w     *Worker
		moves []*Job
		cost  time.Duration
	}
	var options []option
	for _, w := range group {
		if w.Rack == j.avoidRack || w.reservation.job != nil && w.reservation.job != j || !s.eligible(w, j, now) || !j.Shape.Demand.Fits(w.Capacity) {
			continue
		}
		moves, cost, ok := s.planWorkerClearing(w, j, now)
		if ok {
			options = append(options, option{w: w, moves: moves, cost: cost})
		}
	}
	if len(options) < j.Shape.Workers {
		return clearPlan{}, false
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var c clearPlan
	for _, o := range options[:j.Shape.Workers] {
		c.workers = append(c.workers, o.w)
		c.cost += o.cost
		for _, v := range o.moves {
			if !slices.Contains(c.moves, v) {
				c.moves = append(c.moves, v)
			}
		}
	}
	return c, true
}

// planWorkerClearing returns the jobs that must move off a worker for a job to fit,
// and the estimated cost: the remaining time of jobs that are about to end, and
// moveCost for each job that moves. ok is false if other large jobs, jobs that
// cannot move or tasks of other entries are in the way. Jobs in homes may move too,
// as they can reclaim their home at any time.
func (s *Scheduler) planWorkerClearing(w *Worker, j *Job, now time.Time) (moves []*Job, cost time.Duration, ok bool) {
	missing := j.Shape.Demand.Sub(w.free())
	if missing.Slots <= 0 && missing.Accelerators <= 0 {
		return nil, cost, true
	}
	jobs := make([]*Job, 0, len(w.jobs))
	for other := range w.jobs {
		jobs = append(jobs, other)
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(s.remainingTime(a, now), s.remainingTime(b, now)), cmp.Compare(a.ID, b.ID))
	})
	for _, other := range jobs {
		switch {
		case other.stopping:
		case s.remainingTime(other, now) <= maxRemainingToAwait:
			cost += s.remainingTime(other, now) / 2 // these jobs end in parallel
		case other.Shape.Workers > 1 || !s.movable(other, now):
			continue
		default:
			moves = append(moves, other)
			cost += moveCost
		}
		missing = missing.Sub(other.Shape.Demand)
		if missing.Slots <= 0 && missing.Accelerators <= 0 {
			return moves, cost, true
		}
	}
	return nil, 0, false
}

// Limits and costs of clearing workers.
const (
	maxRemainingToAwait = 5 * time.Second       // jobs with at most this remaining time are not moved
	moveCost            = 2 * time.Second       // estimated cost of moving one job
	clearRetryDelay     = 20 * time.Millisecond // before looking for workers again
	maxClearOverrun     = 5 * time.Second       // beyond the estimated cost, before trying another rack
)

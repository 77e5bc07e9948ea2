package schedule

import (
	"cmp"
	"slices"
	"time"
)

// clearing is the work of making room for one large job: the workers that are
// kept for it, and the jobs on them that must move first.
type clearing struct {
	workers []*Worker
	moves   []*Job
	cost    time.Duration // expected run time of what must move or end
}

// defragment clears the workers that are kept for a waiting large job: long work on them is told to yield, and finds its place elsewhere.
func (s *Scheduler) defragment(c clearing, decisions []Decision) []Decision {
	for _, v := range c.moves {
		decisions = append(decisions, s.yield(v, "makes_room_for_large_job"))
	}
	return decisions
}

// clear returns the cheapest way to clear workers of one group for a job; ok
// is false if there is none.
func (s *Scheduler) clear(j *Job, group []*Worker, now time.Time) (clearing, bool) {
	type option struct {
		w     *Worker
		moves []*Job
		cost  time.Duration
	}
	var options []option
	for _, w := range group {
		if w.Rack == j.avoid || w.reservation.job != nil && w.reservation.job != j || !s.eligible(w, j, now) || !j.JobShape.Demand.Fits(w.Capacity) {
			continue
		}
		moves, cost, ok := s.clearWorker(w, j, now)
		if ok {
			options = append(options, option{w: w, moves: moves, cost: cost})
		}
	}
	if len(options) < j.JobShape.Workers {
		return clearing{}, false
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var c clearing
	for _, o := range options[:j.JobShape.Workers] {
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

// clearWorker returns what must move off a worker for a job to fit, and the
// expected cost: the rest of the work that ends by itself, and a fixed cost
// for each job that moves. ok is false if other large work is in the way, or
// work that cannot move. Home work moves too: it has its home back at any time.
func (s *Scheduler) clearWorker(w *Worker, j *Job, now time.Time) (moves []*Job, cost time.Duration, ok bool) {
	missing := j.JobShape.Demand.Sub(w.free())
	if missing.Slots <= 0 && missing.Accelerators <= 0 {
		return nil, cost, true
	}
	jobs := make([]*Job, 0, len(w.jobs))
	for x := range w.jobs {
		jobs = append(jobs, x)
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(s.rest(a, now), s.rest(b, now)), cmp.Compare(a.ID, b.ID))
	})
	for _, x := range jobs {
		switch {
		case x.stopping:
		case s.rest(x, now) <= endsSoon:
			cost += s.rest(x, now) / 2 // several end side by side
		case x.JobShape.Workers > 1 || !s.mayMove(x, now):
			continue
		default:
			moves = append(moves, x)
			cost += moveCost
		}
		missing = missing.Sub(x.JobShape.Demand)
		if missing.Slots <= 0 && missing.Accelerators <= 0 {
			return moves, cost, true
		}
	}
	return nil, 0, false
}

// Bounds of the clearing of workers.
const (
	endsSoon   = 5 * time.Second       // work with less than this left is waited for
	moveCost   = 2 * time.Second       // of moving one job
	clearPause = 20 * time.Millisecond // before workers are looked for again
	clearLimit = 5 * time.Second       // beyond the expected cost, before another try
)

package schedule

import (
	"cmp"
	"slices"
	"time"
)

// reserveAfter is the waiting time after which a large job gets a reservation.
const reserveAfter = 500 * time.Millisecond

// reservation reserves a worker for a waiting job. Other jobs may backfill the
// worker only if they are expected to end by backfillUntil.
type reservation struct {
	job           *Job
	backfillUntil time.Time
}

// renewReservations drops all reservations except those of workers that are being
// cleared for the heads of the queues.
func (s *Scheduler) renewReservations() {
	for _, w := range s.reserved {
		w.reservation = reservation{}
	}
	s.reserved = s.reserved[:0]
	for _, q := range s.sortedQueues {
		j := q.head()
		if j == nil {
			continue
		}
		s.reserveAll(j.clearTargets, j, j.backfillDeadline)
	}
}

// reserveAll reserves workers for a job.
func (s *Scheduler) reserveAll(workers []*Worker, j *Job, backfillUntil time.Time) {
	for _, w := range workers {
		w.reservation = reservation{job: j, backfillUntil: backfillUntil}
	}
	s.reserved = append(s.reserved, workers...)
}

// reserve reserves workers for a job that could not be placed: those that are
// cheapest to clear, or else those that are expected to be free first.
func (s *Scheduler) reserve(j *Job, now time.Time, decisions []Decision) []Decision {
	if !s.policy.Reserve || s.overQuota(j) || j.Shape.Workers == 1 {
		return decisions
	}
	if now.Sub(j.Enqueued) < reserveAfter {
		s.wakeAt(j.Enqueued.Add(reserveAfter), now)
		return decisions
	}
	groups := [][]*Worker{s.sortedWorkers}
	if j.Shape.SameRack {
		groups = s.racks
	}
	if !s.policy.Defragment {
		s.reserveSoonest(j, groups, now)
		return decisions
	}
	c, ok := s.continueClearing(j, now)
	if !ok {
		if now.Before(j.nextClearAttempt) {
			s.wakeAt(j.nextClearAttempt, now)
			return decisions
		}
		if c, ok = s.cheapestClearing(j, groups, now); !ok {
			j.clearTargets, j.nextClearAttempt = nil, now.Add(clearRetryDelay)
			s.reserveSoonest(j, groups, now)
			return decisions
		}
		j.clearTargets, j.backfillDeadline = c.workers, now.Add(c.cost)
	}
	s.reserveAll(c.workers, j, j.backfillDeadline)
	return s.defragment(c, decisions)
}

// continueClearing returns the plan for the workers that are already being cleared
// for a job. ok is false if there are none, or if they can no longer be cleared.
func (s *Scheduler) continueClearing(j *Job, now time.Time) (clearPlan, bool) {
	if j.clearTargets == nil {
		return clearPlan{}, false
	}
	c, ok := s.planClearing(j, j.clearTargets, now)
	if now.After(j.backfillDeadline.Add(maxClearOverrun)) {
		// Other jobs keep occupying these workers: try another rack next.
		j.avoidRack = j.clearTargets[0].Rack
		ok = false
	}
	if !ok {
		for _, w := range j.clearTargets {
			w.reservation = reservation{}
		}
		j.clearTargets = nil
	}
	return c, ok
}

// cheapestClearing returns the cheapest plan to clear workers of one of the groups.
func (s *Scheduler) cheapestClearing(j *Job, groups [][]*Worker, now time.Time) (best clearPlan, ok bool) {
	for _, g := range groups {
		if c, found := s.planClearing(j, g, now); found && (!ok || c.cost < best.cost) {
			best, ok = c, true
		}
	}
	return best, ok
}

// reserveSoonest reserves the workers of the group that has room for the job first.
func (s *Scheduler) reserveSoonest(j *Job, groups [][]*Worker, now time.Time) {
	var best []*Worker
	var bestEnd time.Time
	for _, g := range groups {
		picked, end := s.soonestAvailable(j, now, g)
		if picked != nil && (best == nil || end.Before(bestEnd)) {
			best, bestEnd = picked, end
		}
	}
	s.reserveAll(best, j, bestEnd)
}

// soonestAvailable returns the workers of a group that are expected to have room
// for the job first, and the time at which the last of them has.
func (s *Scheduler) soonestAvailable(j *Job, now time.Time, group []*Worker) ([]*Worker, time.Time) {
	type option struct {
		w  *Worker
		at time.Time
	}
	var options []option
	for _, w := range group {
		if w.reservation.job == nil && s.eligible(w, j, now) && j.Shape.Demand.Fits(w.Capacity) {
			options = append(options, option{w: w, at: s.availableAt(w, j, now)})
		}
	}
	if len(options) < j.Shape.Workers {
		return nil, time.Time{}
	}
	slices.SortStableFunc(options, func(a, b option) int { return a.at.Compare(b.at) })
	options = options[:j.Shape.Workers]
	picked := make([]*Worker, len(options))
	for i, o := range options {
		picked[i] = o.w
	}
	return picked, options[len(options)-1].at
}

// availableAt estimates when a worker will have room for the job.
func (s *Scheduler) availableAt(w *Worker, j *Job, now time.Time) time.Time {
	free := w.free()
	if j.Shape.Demand.Fits(free) {
		return now
	}
	jobs := make([]*Job, 0, len(w.jobs))
	for other := range w.jobs {
		jobs = append(jobs, other)
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(s.expectedEnd(a, now).Compare(s.expectedEnd(b, now)), cmp.Compare(a.ID, b.ID))
	})
	for _, other := range jobs {
		free = free.Add(other.Shape.Demand)
		if j.Shape.Demand.Fits(free) {
			return s.expectedEnd(other, now)
		}
	}
	return now.Add(unknownReleaseDelay)
}

// unknownReleaseDelay is the assumed time until other entries' tasks free enough
// resources.
const unknownReleaseDelay = 10 * time.Second

// expectedEnd estimates when a placed job ends. A job that has run for longer than
// half of the expected time is assumed to run for as long again.
func (s *Scheduler) expectedEnd(j *Job, now time.Time) time.Time {
	attained := now.Sub(j.started)
	return j.started.Add(max(s.ExpectedRunTime(j.Service), 2*attained))
}

// reservationAllows reports whether the job may use a worker despite a reservation
// for another job: if it is expected to end in time, or if it is much shorter and
// has waited for preemptWait.
func (s *Scheduler) reservationAllows(w *Worker, j *Job, now time.Time) bool {
	r := w.reservation
	if r.job == nil || r.job == j {
		return true
	}
	expected := s.ExpectedRunTime(j.Service)
	if !now.Add(expected).After(r.backfillUntil) {
		return true
	}
	// A much shorter job that has found no room elsewhere need not wait.
	return preemptRatio*expected <= s.ExpectedRunTime(r.job.Service) && now.Sub(j.Enqueued) >= preemptWait
}

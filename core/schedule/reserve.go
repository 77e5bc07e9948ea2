package schedule

import (
	"cmp"
	"slices"
	"time"
)

// reserveAfter is the wait at which a large job gets a reservation.
const reserveAfter = 500 * time.Millisecond

// reservation keeps a worker for a waiting job. Other work may use the worker
// only if it is expected to have ended by the given time.
type reservation struct {
	job *Job
	end time.Time
}

// renewReservations drops the reservations but for those of the workers that
// are being cleared for the heads of the lanes.
func (s *Scheduler) renewReservations() {
	for _, w := range s.reserved {
		w.reservation = reservation{}
	}
	s.reserved = s.reserved[:0]
	for _, l := range s.laneList {
		j := l.head()
		if j == nil {
			continue
		}
		s.reserveAll(j.kept, j, j.keptUntil)
	}
}

// reserveAll reserves workers for a job.
func (s *Scheduler) reserveAll(workers []*Worker, j *Job, end time.Time) {
	for _, w := range workers {
		w.reservation = reservation{job: j, end: end}
	}
	s.reserved = append(s.reserved, workers...)
}

// reserve keeps workers for a job that could not be placed: those that are
// cheapest to clear, or else those that are expected to be free the soonest.
func (s *Scheduler) reserve(j *Job, now time.Time, decisions []Decision) []Decision {
	if !s.policy.Reserve || s.overQuota(j) || j.JobShape.Workers == 1 {
		return decisions
	}
	if now.Sub(j.Enqueued) < reserveAfter {
		s.wakeAt(j.Enqueued.Add(reserveAfter), now)
		return decisions
	}
	groups := [][]*Worker{s.order}
	if j.JobShape.SameRack {
		groups = s.racks
	}
	if !s.policy.Defragment {
		s.reserveSoonest(j, groups, now)
		return decisions
	}
	c, ok := s.keepClearing(j, now)
	if !ok {
		if now.Before(j.nextClear) {
			s.wakeAt(j.nextClear, now)
			return decisions
		}
		if c, ok = s.cheapest(j, groups, now); !ok {
			j.kept, j.nextClear = nil, now.Add(clearPause)
			s.reserveSoonest(j, groups, now)
			return decisions
		}
		j.kept, j.keptUntil = c.workers, now.Add(c.cost)
	}
	s.reserveAll(c.workers, j, j.keptUntil)
	return s.defragment(c, decisions)
}

// keepClearing goes on with the workers that are being cleared for a job; ok
// is false if there are none, or if they cannot be cleared any more.
func (s *Scheduler) keepClearing(j *Job, now time.Time) (clearing, bool) {
	if j.kept == nil {
		return clearing{}, false
	}
	c, ok := s.clear(j, j.kept, now)
	if now.After(j.keptUntil.Add(clearLimit)) {
		// Other work keeps coming; the next try is elsewhere.
		j.avoid = j.kept[0].Rack
		ok = false
	}
	if !ok {
		for _, w := range j.kept {
			w.reservation = reservation{}
		}
		j.kept = nil
	}
	return c, ok
}

// cheapest returns the cheapest way to clear workers of one of the groups.
func (s *Scheduler) cheapest(j *Job, groups [][]*Worker, now time.Time) (best clearing, ok bool) {
	for _, g := range groups {
		if c, found := s.clear(j, g, now); found && (!ok || c.cost < best.cost) {
			best, ok = c, true
		}
	}
	return best, ok
}

func (s *Scheduler) reserveSoonest(j *Job, groups [][]*Worker, now time.Time) {
	var best []*Worker
	var bestEnd time.Time
	for _, g := range groups {
		picked, end := s.soonest(j, now, g)
		if picked != nil && (best == nil || end.Before(bestEnd)) {
			best, bestEnd = picked, end
		}
	}
	s.reserveAll(best, j, bestEnd)
}

// soonest returns the workers of a group that are expected to have room for
// the job first, and the time at which the last of them has.
func (s *Scheduler) soonest(j *Job, now time.Time, group []*Worker) ([]*Worker, time.Time) {
	type option struct {
		w  *Worker
		at time.Time
	}
	var options []option
	for _, w := range group {
		if w.reservation.job == nil && s.eligible(w, j, now) && j.JobShape.Demand.Fits(w.Capacity) {
			options = append(options, option{w: w, at: s.roomAt(w, j, now)})
		}
	}
	if len(options) < j.JobShape.Workers {
		return nil, time.Time{}
	}
	slices.SortStableFunc(options, func(a, b option) int { return a.at.Compare(b.at) })
	options = options[:j.JobShape.Workers]
	picked := make([]*Worker, len(options))
	for i, o := range options {
		picked[i] = o.w
	}
	return picked, options[len(options)-1].at
}

// roomAt estimates when a worker has room for the job.
func (s *Scheduler) roomAt(w *Worker, j *Job, now time.Time) time.Time {
	free := w.free()
	if j.JobShape.Demand.Fits(free) {
		return now
	}
	jobs := make([]*Job, 0, len(w.jobs))
	for x := range w.jobs {
		jobs = append(jobs, x)
	}
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(s.expectedEnd(a, now).Compare(s.expectedEnd(b, now)), cmp.Compare(a.ID, b.ID))
	})
	for _, x := range jobs {
		free = free.Add(x.JobShape.Demand)
		if j.JobShape.Demand.Fits(free) {
			return s.expectedEnd(x, now)
		}
	}
	return now.Add(unknownRoom)
}

// unknownRoom is the assumed time until other entries' work makes room.
const unknownRoom = 10 * time.Second

// expectedEnd estimates when a placed job ends. One that has run longer than
// expected is expected to run as long again.
func (s *Scheduler) expectedEnd(j *Job, now time.Time) time.Time {
	attained := now.Sub(j.started)
	return j.started.Add(max(s.ExpectedRunTime(j.Service), 2*attained))
}

// mayUse reports whether the job may use a worker that may be reserved: if it
// is expected to end in time, or if it is short and has waited.
func (s *Scheduler) mayUse(w *Worker, j *Job, now time.Time) bool {
	r := w.reservation
	if r.job == nil || r.job == j {
		return true
	}
	expected := s.ExpectedRunTime(j.Service)
	if !now.Add(expected).After(r.end) {
		return true
	}
	// Much shorter work that finds no room elsewhere does not wait.
	return yieldRatio*expected <= s.ExpectedRunTime(r.job.Service) && now.Sub(j.Enqueued) >= yieldWait
}

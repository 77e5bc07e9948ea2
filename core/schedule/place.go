package schedule

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/plan"
)

// candidate is a set of workers on which a job can be placed.
type candidate struct {
	workers []*Worker
	home    string // shape of the home, empty to borrow
	guest   bool
	reason  string
}

// Reasons of a placement.
const (
	reasonHome     = "home"
	reasonReclaim  = "home_reclaimed"
	reasonBorrowed = "borrowed"
	reasonProbe    = "probe_of_ejected_worker"
)

// find looks for workers for a job: first its customer's home as far as it is
// free, then free resources anywhere, then a home that others have borrowed.
func (s *Scheduler) find(j *Job, now time.Time) (candidate, bool) {
	if c, ok := s.findProbe(j, now); ok {
		return c, true
	}
	if c, ok := s.findHome(j, now, true); ok {
		return c, true
	}
	if s.overQuota(j) {
		return s.findHome(j, now, false)
	}
	if s.leavesHeadroom(j, now) {
		if c, ok := s.findFree(j, now); ok {
			return c, true
		}
	}
	return s.findHome(j, now, false)
}

// findProbe looks for an ejected worker that may be given one task.
func (s *Scheduler) findProbe(j *Job, now time.Time) (candidate, bool) {
	if s.ejected == 0 || j.Shape.Workers != 1 || s.overQuota(j) {
		return candidate{}, false
	}
	for _, w := range s.order {
		if w.health.probeDue(now, j.Repeatable) && w.inService(now) && w.takes(j) && j.Shape.Demand.Fits(w.free()) {
			return candidate{workers: []*Worker{w}, reason: reasonProbe}, true
		}
	}
	return candidate{}, false
}

// takes reports whether the worker runs the job's service and has not failed
// it before.
func (w *Worker) takes(j *Job) bool { return w.services[j.Service] && !j.excluded[w.Name] }

// findHome looks for a home of the job's customer that has room. onlyFree
// leaves out homes in which work would have to be preempted, or which are being
// cleared for a large job.
func (s *Scheduler) findHome(j *Job, now time.Time, onlyFree bool) (candidate, bool) {
	for _, h := range s.homesFor(j) {
		workers := s.homeWorkers(j, h, now, onlyFree)
		if workers == nil {
			continue
		}
		reason := reasonReclaim
		if onlyFree {
			reason = reasonHome
		}
		return candidate{workers: workers, home: h.Shape, guest: h.Shape != j.Shape.Name, reason: reason}, true
	}
	return candidate{}, false
}

// homesFor returns the homes that are large enough for a job: those of its own
// shape first, then the others, the smallest first.
func (s *Scheduler) homesFor(j *Job) []plan.Home {
	var homes []plan.Home
	for _, h := range s.homes[j.Customer] {
		if len(h.Workers) >= j.Shape.Workers && j.Shape.Demand.Fits(h.Demand) {
			homes = append(homes, h)
		}
	}
	slices.SortStableFunc(homes, func(a, b plan.Home) int {
		return cmp.Or(
			compareBool(a.Shape != j.Shape.Name, b.Shape != j.Shape.Name),
			cmp.Compare(len(a.Workers)*a.Demand.Accelerators, len(b.Workers)*b.Demand.Accelerators),
		)
	})
	return homes
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (s *Scheduler) homeWorkers(j *Job, h plan.Home, now time.Time, onlyFree bool) []*Worker {
	var picked []*Worker
	k := plan.Key{Customer: h.Customer, Shape: h.Shape}
	guest := h.Shape != j.Shape.Name
	for _, name := range h.Workers {
		w, ok := s.workers[name]
		if !ok || !s.eligible(w, j, now) || !j.Shape.Demand.Fits(w.homeFree(k, guest)) {
			continue
		}
		if onlyFree && (!j.Shape.Demand.Fits(w.free()) || !s.mayUse(w, j, now)) {
			continue
		}
		picked = append(picked, w)
	}
	if len(picked) < j.Shape.Workers {
		return nil
	}
	slices.SortFunc(picked, compareWorkers)
	return picked[:j.Shape.Workers]
}

// eligible reports whether a worker may be given the job at all.
func (s *Scheduler) eligible(w *Worker, j *Job, now time.Time) bool {
	return w.takes(j) && s.Usable(w, now)
}

// findFree looks for free resources outside the customer's homes.
func (s *Scheduler) findFree(j *Job, now time.Time) (candidate, bool) {
	if !j.Shape.SameRack {
		return s.bestOf(j, now, [][]*Worker{s.order})
	}
	return s.bestOf(j, now, s.racks)
}

// bestOf returns the best workers within one of the groups.
func (s *Scheduler) bestOf(j *Job, now time.Time, groups [][]*Worker) (candidate, bool) {
	var best []*Worker
	bestLeft := 0
	for _, g := range groups {
		picked, left := s.pick(j, now, g)
		if picked == nil {
			continue
		}
		if best == nil || left < bestLeft {
			best, bestLeft = picked, left
		}
		if !s.policy.BestFit {
			break
		}
	}
	if best == nil {
		return candidate{}, false
	}
	slices.SortFunc(best, compareWorkers)
	return candidate{workers: best, reason: reasonBorrowed}, true
}

// pick chooses workers of one group, and returns the free accelerators that
// the group has besides.
func (s *Scheduler) pick(j *Job, now time.Time, group []*Worker) (picked []*Worker, left int) {
	for _, w := range group {
		free := w.free()
		left += free.Accelerators
		if j.Shape.Demand.Fits(free) && s.eligible(w, j, now) && s.mayUse(w, j, now) {
			picked = append(picked, w)
		}
	}
	if len(picked) < j.Shape.Workers {
		return nil, 0
	}
	if s.policy.BestFit {
		slices.SortStableFunc(picked, s.tighter)
	}
	return picked[:j.Shape.Workers], left
}

// tighter orders workers by what they have free, the least first. Of equals,
// the one with less bound to homes comes first, since work there is less
// likely to be preempted.
func (s *Scheduler) tighter(a, b *Worker) int {
	fa, fb := a.free(), b.free()
	return cmp.Or(
		cmp.Compare(fa.Accelerators, fb.Accelerators),
		cmp.Compare(fa.Slots, fb.Slots),
		cmp.Compare(a.homed.Accelerators, b.homed.Accelerators),
	)
}

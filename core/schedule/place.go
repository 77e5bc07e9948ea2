package schedule

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/config"
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
	if s.ejected == 0 || j.JobShape.Workers != 1 || s.overQuota(j) {
		return candidate{}, false
	}
	for _, w := range s.order {
		if w.health.probeDue(now, j.Repeatable) && w.inService(now) && w.takes(j) && j.JobShape.Demand.Fits(w.free()) {
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
		return candidate{workers: workers, home: h.Shape, guest: h.Shape != j.JobShape.Name, reason: reason}, true
	}
	return candidate{}, false
}

// homesFor returns the homes that are large enough for a job: those of its own
// shape first, then the others, the smallest first.
func (s *Scheduler) homesFor(j *Job) []plan.Home {
	var homes []plan.Home
	for _, h := range s.homes[j.Customer] {
		if len(h.Workers) >= j.JobShape.Workers && j.JobShape.Demand.Fits(h.Demand) {
			homes = append(homes, h)
		}
	}
	slices.SortStableFunc(homes, func(a, b plan.Home) int {
		return cmp.Or(
			config.CompareBool(a.Shape != j.JobShape.Name, b.Shape != j.JobShape.Name),
			cmp.Compare(len(a.Workers)*a.Demand.Accelerators, len(b.Workers)*b.Demand.Accelerators),
		)
	})
	return homes
}

func (s *Scheduler) homeWorkers(j *Job, h plan.Home, now time.Time, onlyFree bool) []*Worker {
	var picked []*Worker
	k := plan.HomeKey{Customer: h.Customer, Shape: h.Shape}
	guest := h.Shape != j.JobShape.Name
	for _, name := range h.Workers {
		w, ok := s.workers[name]
		if !ok || !s.eligible(w, j, now) || !j.JobShape.Demand.Fits(w.homeFree(k, guest)) {
			continue
		}
		if onlyFree && (!j.JobShape.Demand.Fits(w.free()) || !s.mayUse(w, j, now)) {
			continue
		}
		picked = append(picked, w)
	}
	if len(picked) < j.JobShape.Workers {
		return nil
	}
	slices.SortFunc(picked, compareWorkers)
	return picked[:j.JobShape.Workers]
}

// eligible reports whether a worker may be given the job at all.
func (s *Scheduler) eligible(w *Worker, j *Job, now time.Time) bool {
	return w.takes(j) && s.Usable(w, now)
}

// maxRacks bounds the racks that are compared for one job.
const maxRacks = 64

// findFree looks for free resources outside the customer's homes.
func (s *Scheduler) findFree(j *Job, now time.Time) (candidate, bool) {
	var workers []*Worker
	switch {
	case j.JobShape.SameRack && j.JobShape.Workers > 1:
		workers = s.bestRack(j, now)
	case s.policy.BestFit:
		workers = s.tightest(j, now)
	default:
		workers = s.first(j, now)
	}
	if len(workers) < j.JobShape.Workers {
		return candidate{}, false
	}
	slices.SortFunc(workers, compareWorkers)
	return candidate{workers: workers, reason: reasonBorrowed}, true
}

// suits reports whether a worker that has room may be given the job.
func (s *Scheduler) suits(w *Worker, j *Job, now time.Time) bool {
	return s.eligible(w, j, now) && s.mayUse(w, j, now)
}

// tightest returns the workers with the least free resources that suit.
func (s *Scheduler) tightest(j *Job, now time.Time) []*Worker {
	picked := make([]*Worker, 0, j.JobShape.Workers)
	s.index.tightest(j.JobShape.Demand, func(i int) bool {
		if w := s.order[i]; s.suits(w, j, now) {
			picked = append(picked, w)
		}
		return len(picked) < j.JobShape.Workers
	})
	return picked
}

// first returns the first workers in the worker order that suit.
func (s *Scheduler) first(j *Job, now time.Time) []*Worker {
	picked := make([]*Worker, 0, j.JobShape.Workers)
	s.index.fitting(j.JobShape.Demand).each(func(i int) bool {
		if w := s.order[i]; s.suits(w, j, now) {
			picked = append(picked, w)
		}
		return len(picked) < j.JobShape.Workers
	})
	return picked
}

// bestRack returns workers of the rack that has the least free accelerators
// besides, of the first racks that suit.
func (s *Scheduler) bestRack(j *Job, now time.Time) []*Worker {
	var best, picked []*Worker
	bestLeft, seen, rack := 0, 0, -1
	s.index.fitting(j.JobShape.Demand).each(func(i int) bool {
		w := s.order[i]
		if w.rack != rack {
			rack = w.rack
			picked = picked[:0]
		}
		if len(picked) == j.JobShape.Workers || !s.suits(w, j, now) {
			return true
		}
		if picked = append(picked, w); len(picked) < j.JobShape.Workers {
			return true
		}
		seen++
		if left := s.freeInRack(rack); best == nil || left < bestLeft {
			best, bestLeft = slices.Clone(picked), left
		}
		return s.policy.BestFit && seen < maxRacks
	})
	return best
}

// freeInRack returns the free accelerators of a rack.
func (s *Scheduler) freeInRack(rack int) int {
	sum := 0
	for _, w := range s.racks[rack] {
		sum += w.free().Accelerators
	}
	return sum
}

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
	home    string // shape of the home; empty to borrow
	guest   bool
	reason  string
}

// Reasons for a placement.
const (
	reasonHome     = "home"
	reasonReclaim  = "home_reclaimed"
	reasonBorrowed = "borrowed"
	reasonProbe    = "probe_of_ejected_worker"
)

// findCandidate looks for workers for a job, in this order: an ejected worker that
// is due for a probe, free resources in a home of the job's customer, free
// resources anywhere, and a home from which borrowed tasks must be preempted.
func (s *Scheduler) findCandidate(j *Job, now time.Time) (candidate, bool) {
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

// findProbe looks for an ejected worker that may be probed with one task.
func (s *Scheduler) findProbe(j *Job, now time.Time) (candidate, bool) {
	if s.ejectedCount == 0 || j.Shape.Workers != 1 || s.overQuota(j) {
		return candidate{}, false
	}
	for _, w := range s.sortedWorkers {
		if w.health.probeDue(now, j.Repeatable) && w.inService(now) && w.accepts(j) && j.Shape.Demand.Fits(w.free()) {
			return candidate{workers: []*Worker{w}, reason: reasonProbe}, true
		}
	}
	return candidate{}, false
}

// accepts reports whether the worker offers the job's service and is not excluded
// for the job.
func (w *Worker) accepts(j *Job) bool { return w.services[j.Service] && !j.excludedWorkers[w.Name] }

// findHome looks for a home of the job's customer that has room. With onlyFree it
// skips workers on which tasks would have to be preempted, and workers that are
// reserved for another job.
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
// shape first, then the others by ascending size.
func (s *Scheduler) homesFor(j *Job) []plan.Home {
	var homes []plan.Home
	for _, h := range s.homes[j.Customer] {
		if len(h.Workers) >= j.Shape.Workers && j.Shape.Demand.Fits(h.Demand) {
			homes = append(homes, h)
		}
	}
	slices.SortStableFunc(homes, func(a, b plan.Home) int {
		return cmp.Or(
			config.CompareBool(a.Shape != j.Shape.Name, b.Shape != j.Shape.Name),
			cmp.Compare(len(a.Workers)*a.Demand.Accelerators, len(b.Workers)*b.Demand.Accelerators),
		)
	})
	return homes
}

func (s *Scheduler) homeWorkers(j *Job, h plan.Home, now time.Time, onlyFree bool) []*Worker {
	var picked []*Worker
	k := plan.HomeKey{Customer: h.Customer, Shape: h.Shape}
	guest := h.Shape != j.Shape.Name
	for _, name := range h.Workers {
		w, ok := s.workers[name]
		if !ok || !s.eligible(w, j, now) || !j.Shape.Demand.Fits(w.homeFree(k, guest)) {
			continue
		}
		if onlyFree && (!j.Shape.Demand.Fits(w.free()) || !s.reservationAllows(w, j, now)) {
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

// eligible reports whether a worker may be given the job, regardless of its free
// resources.
func (s *Scheduler) eligible(w *Worker, j *Job, now time.Time) bool {
	return w.accepts(j) && s.Usable(w, now)
}

// maxRacks limits the number of racks that are compared for one job.
const maxRacks = 64

// findFree looks for free resources that the job can borrow.
func (s *Scheduler) findFree(j *Job, now time.Time) (candidate, bool) {
	var workers []*Worker
	switch {
	case j.Shape.SameRack && j.Shape.Workers > 1:
		workers = s.bestRack(j, now)
	case s.policy.BestFit:
		workers = s.bestFit(j, now)
	default:
		workers = s.firstFit(j, now)
	}
	if len(workers) < j.Shape.Workers {
		return candidate{}, false
	}
	slices.SortFunc(workers, compareWorkers)
	return candidate{workers: workers, reason: reasonBorrowed}, true
}

// canPlace reports whether a worker that has room may be given the job.
func (s *Scheduler) canPlace(w *Worker, j *Job, now time.Time) bool {
	return s.eligible(w, j, now) && s.reservationAllows(w, j, now)
}

// bestFit returns the usable workers with the least free resources.
func (s *Scheduler) bestFit(j *Job, now time.Time) []*Worker {
	picked := make([]*Worker, 0, j.Shape.Workers)
	s.index.eachBestFit(j.Shape.Demand, func(i int) bool {
		if w := s.sortedWorkers[i]; s.canPlace(w, j, now) {
			picked = append(picked, w)
		}
		return len(picked) < j.Shape.Workers
	})
	return picked
}

// firstFit returns the first usable workers in the global worker order.
func (s *Scheduler) firstFit(j *Job, now time.Time) []*Worker {
	picked := make([]*Worker, 0, j.Shape.Workers)
	s.index.fitting(j.Shape.Demand).each(func(i int) bool {
		if w := s.sortedWorkers[i]; s.canPlace(w, j, now) {
			picked = append(picked, w)
		}
		return len(picked) < j.Shape.Workers
	})
	return picked
}

// bestRack returns workers of the rack with the fewest free accelerators, out of
// the first maxRacks racks that have enough usable workers. Without BestFit it
// takes the first such rack.
func (s *Scheduler) bestRack(j *Job, now time.Time) []*Worker {
	var best, picked []*Worker
	bestLeft, seen, rack := 0, 0, -1
	s.index.fitting(j.Shape.Demand).each(func(i int) bool {
		w := s.sortedWorkers[i]
		if w.rack != rack {
			rack = w.rack
			picked = picked[:0]
		}
		if len(picked) == j.Shape.Workers || !s.canPlace(w, j, now) {
			return true
		}
		if picked = append(picked, w); len(picked) < j.Shape.Workers {
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

// freeInRack returns the number of free accelerators in a rack.
func (s *Scheduler) freeInRack(rack int) int {
	sum := 0
	for _, w := range s.racks[rack] {
		sum += w.free().Accelerators
	}
	return sum
}

package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// farPatience is the share of a task's run time for which a stage waits for
// workers near its data before it takes others. Work far from its data takes
// RackFactor times as long, so that waiting is the smaller loss.
const farPatience = 1.0

// fitGang chooses a worker for each of n tasks that must run together, or
// returns nil.
func (e *Engine) fitGang(s *stage, c []candidate, n int, now time.Time) []*Worker {
	near := slices.DeleteFunc(slices.Clone(c), func(x candidate) bool { return !x.near })
	if s.step.SameRack {
		if chosen := e.fitRack(near, n); chosen != nil {
			return chosen
		}
		if !e.settlesForFar(s, now) {
			return nil
		}
		if chosen := e.fitRack(c, n); chosen != nil {
			return chosen
		}
		return e.fill(c, n)
	}
	if chosen := e.fill(near, n); chosen != nil {
		return chosen
	}
	if !e.settlesForFar(s, now) {
		return nil
	}
	return e.fill(c, n)
}

// settlesForFar reports whether the stage has waited long enough to run where
// it takes longer.
func (e *Engine) settlesForFar(s *stage, now time.Time) bool {
	if s.step.DataRack == "" && !s.step.SameRack {
		return true
	}
	patience := time.Duration(farPatience * float64(e.runTime(s)))
	if e.mostlyIdle(s.job.Service) {
		patience = min(patience, idlePatience)
	}
	return now.Sub(s.ready) > patience || !e.couldBeNear(s, now)
}

// idlePatience bounds the wait for near workers while most of the service is
// idle: callers take longer waits for a standstill.
const idlePatience = 2 * time.Second

// mostlyIdle reports whether less than half of a service's workers is in use, by
// what they have least of.
func (e *Engine) mostlyIdle(service string) bool {
	var used, all wire.Resources
	for _, w := range e.order {
		if w.known && w.Service == service {
			used, all = add(used, w.used), add(all, w.Capacity)
		}
	}
	return 2*used.CPU < all.CPU && 2*used.Memory < all.Memory && (all.Accelerators == 0 || 2*used.Accelerators < all.Accelerators)
}

// couldBeNear reports whether the workers near the data, or those of one rack,
// could hold the stage if they were empty.
func (e *Engine) couldBeNear(s *stage, now time.Time) bool {
	racks := make(map[string]int)
	for _, w := range e.order {
		if !e.eligible(w, s, now) || s.step.DataRack != "" && w.Rack != s.step.DataRack {
			continue
		}
		n := fits(w.Capacity, demand(s.step))
		if s.step.MaxPerWorker > 0 {
			n = min(n, s.step.MaxPerWorker)
		}
		racks[w.Rack] += n
	}
	need := 1
	if s.step.Gang {
		need = s.step.Count
	}
	for _, n := range racks {
		if n >= need {
			return true
		}
	}
	return false
}

// fitRack chooses workers of one rack: the rack that has the least room left
// afterwards, so that large free racks stay whole.
func (e *Engine) fitRack(c []candidate, n int) []*Worker {
	racks := make(map[string][]candidate)
	for _, x := range c {
		racks[x.w.Rack] = append(racks[x.w.Rack], x)
	}
	var best []*Worker
	least := 0
	for _, rack := range racks {
		chosen := e.fill(rack, n)
		if chosen == nil {
			continue
		}
		room := 0
		for _, x := range rack {
			room += sub(x.w.Capacity, x.w.used).Accelerators
		}
		if best == nil || room < least || room == least && rack[0].w.Node < best[0].Node {
			best, least = chosen, room
		}
	}
	return best
}

// fill chooses a worker for each of n tasks, or returns nil. Workers with the
// least room are filled first, but one that holds all that is left is taken
// whole.
func (e *Engine) fill(c []candidate, n int) []*Worker {
	c = slices.Clone(c)
	if !e.cfg.Policy.FirstFit {
		slices.SortStableFunc(c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.room, b.room), cmp.Compare(spare(a.w), spare(b.w)))
		})
	}
	total := 0
	for _, x := range c {
		total += min(x.room, n)
	}
	if total < n {
		return nil
	}
	var chosen []*Worker
	for len(chosen) < n {
		left := n - len(chosen)
		i := slices.IndexFunc(c, func(x candidate) bool { return x.room >= left })
		if i < 0 {
			i = len(c) - 1
		}
		for range min(c[i].room, left) {
			chosen = append(chosen, c[i].w)
		}
		c = slices.Delete(c, i, i+1)
	}
	return chosen
}

// spare is the worker's free accelerators, for best fit.
func spare(w *Worker) int { return w.Capacity.Accelerators - w.used.Accelerators }

// placeEach places tasks that do not depend on each other and returns those
// that found no worker.
func (e *Engine) placeEach(s *stage, tasks []*task, c []candidate, now time.Time) []*task {
	if !e.settlesForFar(s, now) {
		c = slices.DeleteFunc(c, func(x candidate) bool { return !x.near })
	}
	if !e.cfg.Policy.FirstFit {
		slices.SortStableFunc(c, func(a, b candidate) int {
			return cmp.Or(-cmp.Compare(btoi(a.near), btoi(b.near)), cmp.Compare(spare(a.w), spare(b.w)))
		})
	}
	var placed []*task
	var chosen []*Worker
	var rest []*task
	for _, t := range tasks {
		i := slices.IndexFunc(c, func(x candidate) bool { return x.room > 0 && x.w != t.avoid })
		if i < 0 && t.avoid != nil && now.Sub(s.ready) > farWait {
			i = slices.IndexFunc(c, func(x candidate) bool { return x.room > 0 })
		}
		if i < 0 {
			rest = append(rest, t)
			continue
		}
		c[i].room--
		placed, chosen = append(placed, t), append(chosen, c[i].w)
	}
	if len(placed) > 0 {
		e.startRuns(s, placed, chosen, now)
	}
	return rest
}

// farWait is the time after which a task may run again on the worker where it
// has failed.
const farWait = 2 * time.Second

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

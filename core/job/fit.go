package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// remoteWaitFactor is the share of a task's run time for which a stage waits for
// workers near its data before it takes others. Work far from its data takes
// RackFactor times as long, so that waiting is the smaller loss.
const remoteWaitFactor = 1.0

// fitGang chooses a worker for each of n tasks that must run together, or
// returns nil.
func (e *Engine) fitGang(s *stage, c []candidate, n int, now time.Time) []*Worker {
	near := slices.DeleteFunc(slices.Clone(c), func(x candidate) bool { return !x.nearData })
	if s.step.SameRack {
		if chosen := e.fitGangInRack(near, n); chosen != nil {
			return chosen
		}
		if !e.acceptsRemotePlacement(s, now) {
			return nil
		}
		if chosen := e.fitGangInRack(c, n); chosen != nil {
			return chosen
		}
		return e.packTasks(c, n)
	}
	if chosen := e.packTasks(near, n); chosen != nil {
		return chosen
	}
	if !e.acceptsRemotePlacement(s, now) {
		return nil
	}
	return e.packTasks(c, n)
}

// acceptsRemotePlacement reports whether the stage has waited long enough to run where
// it takes longer.
func (e *Engine) acceptsRemotePlacement(s *stage, now time.Time) bool {
	if s.step.DataRack == "" && !s.step.SameRack {
		return true
	}
	patience := time.Duration(remoteWaitFactor * float64(e.expectedRunTime(s)))
	if e.mostlyIdle(s.job.Service) {
		patience = min(patience, maxRemoteWaitWhenIdle)
	}
	return now.Sub(s.readyAt) > patience || !e.localPlacementPossible(s, now)
}

// maxRemoteWaitWhenIdle bounds the wait for near workers while most of the service is
// idle: callers take longer waits for a standstill.
const maxRemoteWaitWhenIdle = 2 * time.Second

// mostlyIdle reports whether less than half of a service's workers is in use, by
// what they have least of.
func (e *Engine) mostlyIdle(service string) bool {
	var used, all wire.Resources
	for _, w := range e.sortedWorkers {
		if w.reported && w.Service == service {
			used, all = add(used, w.used), add(all, w.Capacity)
		}
	}
	return 2*used.CPU < all.CPU && 2*used.Memory < all.Memory && (all.Accelerators == 0 || 2*used.Accelerators < all.Accelerators)
}

// localPlacementPossible reports whether the workers near the data, or those of one rack,
// could hold the stage if they were empty.
func (e *Engine) localPlacementPossible(s *stage, now time.Time) bool {
	racks := make(map[string]int)
	for _, w := range e.sortedWorkers {
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

// fitGangInRack chooses workers of one rack: the rack that has the least room left
// afterwards, so that large free racks stay whole.
func (e *Engine) fitGangInRack(c []candidate, n int) []*Worker {
	racks := make(map[string][]candidate)
	for _, x := range c {
		racks[x.w.Rack] = append(racks[x.w.Rack], x)
	}
	var best []*Worker
	least := 0
	for _, rack := range racks {
		chosen := e.packTasks(rack, n)
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

// packTasks chooses a worker for each of n tasks, or returns nil. Workers with the
// least room are filled first, but one that holds all that is left is taken
// whole.
func (e *Engine) packTasks(c []candidate, n int) []*Worker {
	c = slices.Clone(c)
	if !e.cfg.Policy.FirstFit {
		slices.SortStableFunc(c, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.taskCapacity, b.taskCapacity), cmp.Compare(freeAccelerators(a.w), freeAccelerators(b.w)))
		})
	}
	total := 0
	for _, x := range c {
		total += min(x.taskCapacity, n)
	}
	if total < n {
		return nil
	}
	var chosen []*Worker
	for len(chosen) < n {
		left := n - len(chosen)
		i := slices.IndexFunc(c, func(x candidate) bool { return x.taskCapacity >= left })
		if i < 0 {
			i = len(c) - 1
		}
		for range min(c[i].taskCapacity, left) {
			chosen = append(chosen, c[i].w)
		}
		c = slices.Delete(c, i, i+1)
	}
	return chosen
}

// freeAccelerators is the worker's free accelerators, for best fit.
func freeAccelerators(w *Worker) int { return w.Capacity.Accelerators - w.used.Accelerators }

// placeIndependent places tasks that do not depend on each other and returns those
// that found no worker.
func (e *Engine) placeIndependent(s *stage, tasks []*task, c []candidate, now time.Time) []*task {
	if !e.acceptsRemotePlacement(s, now) {
		c = slices.DeleteFunc(c, func(x candidate) bool { return !x.nearData })
	}
	if !e.cfg.Policy.FirstFit {
		slices.SortStableFunc(c, func(a, b candidate) int {
			return cmp.Or(-cmp.Compare(btoi(a.nearData), btoi(b.nearData)), cmp.Compare(freeAccelerators(a.w), freeAccelerators(b.w)))
		})
	}
	var placed []*task
	var chosen []*Worker
	var rest []*task
	for _, t := range tasks {
		i := slices.IndexFunc(c, func(x candidate) bool { return x.taskCapacity > 0 && x.w != t.failedOn })
		if i < 0 && t.failedOn != nil && now.Sub(s.readyAt) > sameWorkerRetryDelay {
			i = slices.IndexFunc(c, func(x candidate) bool { return x.taskCapacity > 0 })
		}
		if i < 0 {
			rest = append(rest, t)
			continue
		}
		c[i].taskCapacity--
		placed, chosen = append(placed, t), append(chosen, c[i].w)
	}
	if len(placed) > 0 {
		e.startRuns(s, placed, chosen, now)
	}
	return rest
}

// sameWorkerRetryDelay is the time after which a task may run again on the worker where it
// has failed.
const sameWorkerRetryDelay = 2 * time.Second

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// remoteWaitFactor is how long a stage waits for workers near its data before it
// takes others, as a multiple of its run time. Work outside the rack of its data
// takes RackFactor times as long, so waiting costs less.
const remoteWaitFactor = 1.0

// fitGang chooses workers for the n tasks of a gang, one entry per task. It returns
// nil if they do not fit.
func (e *Engine) fitGang(s *stage, c []candidate, n int, now time.Time) []*Worker {
	required := e.requiredEvidence(s, s.failures, s.lastFailed, now)
	preferred := max(required, notUnproven)
	known := slices.DeleteFunc(slices.Clone(c), func(x candidate) bool { return !x.satisfies(preferred, s.lastFailed.at) })
	sets := e.bySpeed(s, known, now)
	if warm := e.warmerCandidates(known); warm != nil {
		sets = append(e.bySpeed(s, warm, now), sets...)
	}
	for _, set := range sets {
		if chosen := e.fitGangLocally(s, set, n); chosen != nil {
			return chosen
		}
	}
	if chosen := e.fitGangNear(s, known, n, now); chosen != nil || required == preferred {
		return chosen
	}
	return e.fitGangNear(s, c, n, now) // required is noEvidence
}

// fitGangNear chooses workers for the n tasks of a gang regardless of the workers'
// health.
func (e *Engine) fitGangNear(s *stage, c []candidate, n int, now time.Time) []*Worker {
	if chosen := e.fitGangLocally(s, c, n); chosen != nil {
		return chosen
	}
	if !e.acceptsRemotePlacement(s, now) {
		return nil
	}
	if s.step.SameRack {
		if chosen := e.fitGangInRack(c, n); chosen != nil {
			return chosen
		}
	}
	return e.packTasks(c, n)
}

// fitGangLocally chooses workers near the stage's data, and in one rack if the stage
// asks for that.
func (e *Engine) fitGangLocally(s *stage, c []candidate, n int) []*Worker {
	near := slices.DeleteFunc(slices.Clone(c), func(x candidate) bool { return !x.nearData })
	if s.step.SameRack {
		return e.fitGangInRack(near, n)
	}
	return e.packTasks(near, n)
}

// acceptsRemotePlacement reports whether the stage may be placed outside the rack of
// its data, or on several racks, because it has waited long enough or has no choice.
// It is always true for a stage that is not bound to a rack.
func (e *Engine) acceptsRemotePlacement(s *stage, now time.Time) bool {
	if s.step.DataRack == "" && !s.step.SameRack {
		return true
	}
	maxWait := time.Duration(remoteWaitFactor * float64(e.expectedRunTime(s)))
	if e.mostlyIdle(s.job.Service) {
		maxWait = min(maxWait, maxRemoteWaitWhenIdle)
	}
	return now.Sub(s.readyAt) > maxWait || !e.localPlacementPossible(s, now)
}

// maxRemoteWaitWhenIdle bounds the wait for workers near the data while most of the
// service is idle, because callers regard a longer wait as a stall.
const maxRemoteWaitWhenIdle = 2 * time.Second

// mostlyIdle reports whether less than half of each resource of a service's workers
// is in use.
func (e *Engine) mostlyIdle(service string) bool {
	var used, all wire.Resources
	for _, w := range e.sortedWorkers {
		if w.reported && w.Service == service && !e.evacuated(w) {
			used, all = add(used, w.used), add(all, w.Capacity)
		}
	}
	return 2*used.CPU < all.CPU && 2*used.Memory < all.Memory && (all.Accelerators == 0 || 2*used.Accelerators < all.Accelerators)
}

// localPlacementPossible reports whether the workers near the stage's data, or those
// of one rack, could run its gang, or one of its independent tasks, if they were
// empty.
func (e *Engine) localPlacementPossible(s *stage, now time.Time) bool {
	racks := make(map[string]int)
	for _, w := range e.sortedWorkers {
		if !e.eligible(w, s, now) || s.step.DataRack != "" && w.Rack != s.step.DataRack {
			continue
		}
		n := fitCount(w.Capacity, demand(s.step))
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

// fitGangInRack chooses workers of one rack for n tasks. It prefers the rack with the
// fewest free accelerators, so that large free racks stay available.
func (e *Engine) fitGangInRack(c []candidate, n int) []*Worker {
	if warm := e.warmerCandidates(c); warm != nil {
		if chosen := e.fitGangInRack(warm, n); chosen != nil {
			return chosen
		}
	}
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
		free := 0
		for _, x := range rack {
			free += sub(x.w.Capacity, x.w.used).Accelerators
		}
		if best == nil || free < least || free == least && rack[0].w.Node < best[0].Node {
			best, least = chosen, free
		}
	}
	return best
}

// packTasks chooses a worker for each of n tasks, or returns nil. It takes the
// worker with the least room that fits all remaining tasks; if there is none, it
// fills the one with the most room and continues. Policy.FirstFit keeps the order
// of racks instead: the first worker that fits all remaining tasks, or else the
// last worker.
func (e *Engine) packTasks(c []candidate, n int) []*Worker {
	if warm := e.warmerCandidates(c); warm != nil {
		if chosen := e.packTasks(warm, n); chosen != nil {
			return chosen
		}
	}
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

// freeAccelerators returns the number of free accelerators of the worker, for best
// fit.
func freeAccelerators(w *Worker) int { return w.Capacity.Accelerators - w.used.Accelerators }

// placeIndependent places tasks that need not run together and returns those for
// which there is no worker.
func (e *Engine) placeIndependent(s *stage, tasks []*task, c []candidate, now time.Time) []*task {
	if !e.acceptsRemotePlacement(s, now) {
		c = slices.DeleteFunc(c, func(x candidate) bool { return !x.nearData })
	}
	if !e.cfg.Policy.FirstFit {
		order := func(int) int { return 0 }
		if e.speedsDiffer {
			order = e.speedOrder(s, now)
		}
		slices.SortStableFunc(c, func(a, b candidate) int {
			return cmp.Or(
				-cmp.Compare(btoi(a.proven), btoi(b.proven)),
				-cmp.Compare(btoi(a.nearData), btoi(b.nearData)),
				cmp.Compare(btoi(a.w.cold()), btoi(b.w.cold())),
				cmp.Compare(order(a.w.speed.class), order(b.w.speed.class)),
				cmp.Compare(freeAccelerators(a.w), freeAccelerators(b.w)),
			)
		})
	}
	var placed []*task
	var chosen []*Worker
	var unplaced []*task
	for _, t := range tasks {
		required := e.requiredEvidence(s, t.failures, t.lastFailed, now)
		admits := func(x candidate) bool { return x.taskCapacity > 0 && x.satisfies(required, t.lastFailed.at) }
		i := slices.IndexFunc(c, func(x candidate) bool { return admits(x) && x.w != t.failedOn })
		if i < 0 && t.failedOn != nil {
			i = slices.IndexFunc(c, admits)
		}
		if i < 0 {
			unplaced = append(unplaced, t)
			continue
		}
		c[i].taskCapacity--
		placed, chosen = append(placed, t), append(chosen, c[i].w)
	}
	if len(placed) > 0 {
		e.startRuns(s, placed, chosen, now)
	}
	return unplaced
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

package job

import (
	"cmp"
	"slices"
	"time"
)

// maxReservations bounds the stages with a reservation in one tick to the first ones
// in the queue. Later stages would have to wait for several others to end.
const maxReservations = 6

// maxStopTime is how long a run that is being stopped still occupies its resources:
// the longest stop time of the users' workers.
const maxStopTime = 400 * time.Millisecond

// reservation is the room on workers that a stage will use from startAt on.
type reservation struct {
	tasksPerWorker map[*Worker]int
	startAt        time.Time
}

// reserve reserves the earliest room for n tasks of a stage that does not fit now.
// Stages later in the queue may use that room if they end in time (backfilling).
// Without a reservation, small tasks would take all resources that become free
// and starve large ones.
func (e *Engine) reserve(s *stage, n int, now time.Time) {
	if s.heldTasks != nil || e.reservationCount >= maxReservations {
		return
	}
	best := e.earliestRoom(s, n, now)
	if best == nil {
		return
	}
	e.reservationCount++
	e.reserved[s] = best
}

// earliestRoom returns the earliest room for n tasks of a stage, or nil if there will
// be none.
func (e *Engine) earliestRoom(s *stage, n int, now time.Time) *reservation {
	var best *reservation
	for _, set := range e.workerSets(s, now) {
		if r := e.earliestReservation(s, set, n, now); r != nil && (best == nil || r.startAt.Before(best.startAt)) {
			best = r
		}
	}
	return best
}

// workerSets returns the sets of eligible workers of which one must have room for
// the whole stage: one set per rack for a same-rack stage, unless it fits into no
// rack and has to be spread, otherwise one set of all workers.
func (e *Engine) workerSets(s *stage, now time.Time) [][]*Worker {
	remoteAllowed := e.acceptsRemotePlacement(s, now)
	racks := make(map[string][]*Worker)
	var names []string
	var all []*Worker
	for _, w := range e.sortedWorkers {
		if !e.eligible(w, s, now) || !s.acceptsSpeed(w) || !w.health.isProven() || !remoteAllowed && s.step.DataRack != "" && w.Rack != s.step.DataRack {
			continue
		}
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
		all = append(all, w)
	}
	if !s.step.SameRack || remoteAllowed && !e.localPlacementPossible(s, now) {
		return [][]*Worker{all}
	}
	sets := make([][]*Worker, 0, len(names))
	for _, name := range names {
		sets = append(sets, racks[name])
	}
	return sets
}

// opening is the time at which a worker has room for one more task.
type opening struct {
	at time.Time
	w  *Worker
}

// earliestReservation returns the earliest room for n tasks on a set of workers, or
// nil if they will never fit.
func (e *Engine) earliestReservation(s *stage, set []*Worker, n int, now time.Time) *reservation {
	var openings []opening
	for _, w := range set {
		openings = append(openings, e.openings(s, w, n, now)...)
	}
	if len(openings) < n || n == 0 {
		return nil
	}
	slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	r := &reservation{tasksPerWorker: make(map[*Worker]int), startAt: openings[n-1].at}
	for _, o := range openings[:n] {
		r.tasksPerWorker[o.w]++
	}
	return r
}

// openings returns the times at which a worker has room for 1 to n tasks of a stage.
func (e *Engine) openings(s *stage, w *Worker, n int, now time.Time) []opening {
	type end struct {
		at time.Time
		r  *run
	}
	var ends []end
	for _, r := range w.runs {
		left := maxStopTime
		if r.phase != stopping {
			left = e.expectedRemaining(r, now)
		}
		ends = append(ends, end{at: now.Add(left), r: r})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), compareRuns(a.r, b.r)) })
	limit := min(n, e.maxPerWorkerLeft(w, s))
	free := e.freeFor(w, s, now)
	var openings []opening
	at := now
	for i := 0; ; i++ {
		for len(openings) < min(limit, fitCount(free, demand(s.step))) {
			openings = append(openings, opening{at: at, w: w})
		}
		if i == len(ends) || len(openings) >= limit {
			return openings
		}
		at = ends[i].at
		free = add(free, demand(ends[i].r.task.stage.step))
	}
}

package job

import (
	"cmp"
	"slices"
	"time"
)

// maxReservations bounds the stages that have room reserved in one tick: the
// first of the queue. Later ones would wait for several others to end.
const maxReservations = 6

// maxStopTime is how long a run that has been told to stop still holds its room:
// the longest stop of the users' workers.
const maxStopTime = 400 * time.Millisecond

// reservation is room that will be there at a time.
type reservation struct {
	tasks   map[*Worker]int
	startAt time.Time
}

// reserve keeps the room that will be there first for n tasks of a stage that
// finds too little now. Later stages of the queue may use it until then, if they
// end in time: without it, small tasks take each piece that gets free, and large
// ones wait for ever.
func (e *Engine) reserve(s *stage, n int, now time.Time) {
	if s.heldTasks != nil || e.reservationCount >= maxReservations {
		return
	}
	var best *reservation
	for _, set := range e.workerSets(s, now) {
		if r := e.earliestReservation(s, set, n, now); r != nil && (best == nil || r.startAt.Before(best.startAt)) {
			best = r
		}
	}
	if best == nil {
		return
	}
	e.reservationCount++
	e.reserved[s] = best
}

// workerSets returns the sets of workers of which one must hold the stage: the
// racks for a gang that wants one, all of them else.
func (e *Engine) workerSets(s *stage, now time.Time) [][]*Worker {
	far := e.acceptsRemotePlacement(s, now)
	racks := make(map[string][]*Worker)
	var names []string
	var all []*Worker
	for _, w := range e.sortedWorkers {
		if !e.eligible(w, s, now) || !far && s.step.DataRack != "" && w.Rack != s.step.DataRack {
			continue
		}
		if racks[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		racks[w.Rack] = append(racks[w.Rack], w)
		all = append(all, w)
	}
	if !s.step.SameRack || far && !e.localPlacementPossible(s, now) {
		return [][]*Worker{all}
	}
	sets := make([][]*Worker, 0, len(names))
	for _, name := range names {
		sets = append(sets, racks[name])
	}
	return sets
}

// opening is a time at which a worker has room for one more task.
type opening struct {
	at time.Time
	w  *Worker
}

// earliestReservation returns when and where a set of workers has room for n tasks, or nil
// if it never has.
func (e *Engine) earliestReservation(s *stage, set []*Worker, n int, now time.Time) *reservation {
	var openings []opening
	for _, w := range set {
		openings = append(openings, e.openings(s, w, n, now)...)
	}
	if len(openings) < n || n == 0 {
		return nil
	}
	slices.SortStableFunc(openings, func(a, b opening) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	r := &reservation{tasks: make(map[*Worker]int), startAt: openings[n-1].at}
	for _, o := range openings[:n] {
		r.tasks[o.w]++
	}
	return r
}

// openings returns the times at which a worker has room for 1 to n tasks.
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
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	limit := min(n, e.spreadLeft(w, s))
	free := e.freeFor(w, s, now)
	var openings []opening
	at := now
	for i := 0; ; i++ {
		for len(openings) < min(limit, fits(free, demand(s.step))) {
			openings = append(openings, opening{at: at, w: w})
		}
		if i == len(ends) || len(openings) >= limit {
			return openings
		}
		at = ends[i].at
		free = add(free, demand(ends[i].r.task.stage.step))
	}
}

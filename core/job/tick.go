package job

import (
	"fmt"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// reportLimit is the age of a worker's last report up to which it gets new
// work: six report intervals of an agent, a take-over among them.
const reportLimit = 3 * time.Second

// Tick runs the systems: it ends runs of lost workers, opens occurrences that
// are due and places what waits.
func (e *Engine) Tick(now time.Time) {
	e.expireWorkers(now)
	e.openDue(now)
	e.findUnsound(now)
	queue := e.queue(now)
	clear(e.reserved)
	e.reservations = 0
	for _, s := range queue {
		e.place(s, now)
		if e.cfg.Policy.FirstCome && len(s.waiting()) > 0 {
			return
		}
	}
}

// expireWorkers ends the runs of workers whose leases have certainly lapsed.
func (e *Engine) expireWorkers(now time.Time) {
	for key, w := range e.workers {
		if now.Before(w.lostAt) {
			continue
		}
		e.lose(w, "lease_lapsed", now)
		delete(e.workers, key)
		e.sortWorkers()
	}
}

// openDue makes the stages of occurrences whose time has come.
func (e *Engine) openDue(now time.Time) {
	for _, j := range e.list {
		if j.RepeatCount == 0 || j.state.Final() {
			continue
		}
		for occurrence := range j.RepeatCount {
			due := j.FirstRun.Add(time.Duration(occurrence) * j.Interval)
			if now.UnixMilli() < due.UnixMilli() {
				break
			}
			if j.stages[stageKey{occurrence, 0}] == nil {
				e.open(j, occurrence, now)
			}
		}
	}
}

// queue returns the stages that want workers, the most urgent first.
func (e *Engine) queue(now time.Time) []*stage {
	var queue []*stage
	for _, j := range e.list {
		if j.state.Final() {
			continue
		}
		for _, s := range j.order {
			if s.left > 0 && !now.Before(s.retry) && len(s.waiting()) > 0 {
				queue = append(queue, s)
			}
		}
	}
	rank := make(map[*stage]float64, len(queue))
	for _, s := range queue {
		rank[s] = e.rank(s, now)
	}
	e.sortQueue(queue, rank)
	return queue
}

// rank orders stages of one priority by the acceptance of their jobs, or the due
// time of their occurrences. What can no longer be worth anything goes last.
func (e *Engine) rank(s *stage, now time.Time) float64 {
	rank := s.due().Sub(e.since).Seconds()
	if !s.step.LongRunning && now.Add(e.runTime(s)).After(e.worthless(s)) {
		return hopeless + rank
	}
	return rank
}

// hopeless is a rank after all others, in seconds.
const hopeless = 1e6

// place looks for workers for a stage and orders its tasks there.
func (e *Engine) place(s *stage, now time.Time) {
	if !s.holdEnd.IsZero() && now.After(s.holdEnd) {
		e.release(s)
	}
	tasks := s.waiting()
	c := e.candidates(s, now)
	if s.step.Gang {
		if chosen := e.fitGang(s, c, len(tasks), now); chosen != nil {
			e.startRuns(s, tasks, chosen, now)
			s.why = ""
			return
		}
	} else {
		tasks = e.placeEach(s, tasks, c, now)
		if len(tasks) == 0 {
			s.why = ""
			return
		}
	}
	e.explainWait(s, c, len(tasks), now)
	if s.job.Priority == 0 && s.held == nil && !e.cfg.Policy.NoReclaim {
		e.reclaim(s, tasks, now)
	}
	if !e.cfg.Policy.NoReserve {
		e.reserve(s, len(tasks), now)
	}
}

// explainWait notes why tasks of a stage wait, when that changes.
func (e *Engine) explainWait(s *stage, c []candidate, n int, now time.Time) {
	room, near, eligible := 0, 0, 0
	for _, x := range c {
		room += min(x.room, n)
		if x.near {
			near += min(x.room, n)
		}
	}
	for _, w := range e.order {
		if e.eligible(w, s, now) {
			eligible++
		}
	}
	why := "too_little_room_together"
	switch {
	case eligible == 0:
		why = "no_worker"
	case room == 0:
		why = "no_room"
	case near == 0:
		why = "no_room_near_data"
	}
	if why == s.why {
		return
	}
	s.why = why
	e.decide(Decision{
		Kind: "wait", Job: s.job.ID, Task: wire.TaskID{Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step},
		Reason: fmt.Sprintf("%s:tasks=%d,room=%d,near=%d,workers=%d", why, n, room, near, eligible), Age: now.Sub(s.job.Accepted),
	})
}

// candidate is a worker that may run tasks of a stage, and how many.
type candidate struct {
	w    *Worker
	room int
	near bool
}

// candidates returns the workers that may run tasks of the stage now.
func (e *Engine) candidates(s *stage, now time.Time) []candidate {
	var c []candidate
	for _, w := range e.order {
		if !e.eligible(w, s, now) {
			continue
		}
		n := min(fits(e.free(w, s, now), demand(s.step)), e.spreadLeft(w, s))
		if n > 0 {
			c = append(c, candidate{w: w, room: n, near: s.step.DataRack == "" || s.step.DataRack == w.Rack})
		}
	}
	return c
}

// eligible reports whether the worker may run tasks of the stage if it has room.
func (e *Engine) eligible(w *Worker, s *stage, now time.Time) bool {
	return e.suitable(w, s, now) && s.advised(w, now)
}

// suitable is eligible without regard to advice.
func (e *Engine) suitable(w *Worker, s *stage, now time.Time) bool {
	return w.known && w.State == wire.WorkerReady && now.Sub(w.heard) <= reportLimit &&
		w.Service == s.job.Service && (w.health.usable(now) || e.unsound[w.Service] && w.health.lastResort(now) || e.cfg.Policy.NoEjection) &&
		(s.step.RequiredLabel == "" || slices.Contains(w.Labels, s.step.RequiredLabel))
}

// spreadLeft returns how many more tasks of the stage the worker may run.
func (e *Engine) spreadLeft(w *Worker, s *stage) int {
	if s.step.MaxPerWorker == 0 {
		return maxCount
	}
	n := s.step.MaxPerWorker
	for _, r := range w.runs {
		if r.task.stage == s {
			n--
		}
	}
	return n
}

// free returns what the worker has left for a stage: what others hold for
// themselves is not free.
func (e *Engine) free(w *Worker, s *stage, now time.Time) wire.Resources {
	free := sub(w.Capacity, w.used)
	for _, d := range w.strays {
		free = sub(free, d)
	}
	for h := range e.holding {
		if n := h.held[w]; n > 0 && h != s {
			free = sub(free, times(demand(h.step), n))
		}
	}
	for h, r := range e.reserved {
		if n := r.use[w]; n > 0 && h != s && now.Add(e.occupies(s)).After(r.at) {
			free = sub(free, times(demand(h.step), n))
		}
	}
	return free
}

// hold keeps room on workers for a stage.
func (e *Engine) hold(s *stage, use map[*Worker]int, end time.Time) {
	s.held, s.holdEnd = use, end
	e.holding[s] = struct{}{}
}

// release gives up the room that a stage holds.
func (e *Engine) release(s *stage) {
	s.held, s.holdEnd = nil, time.Time{}
	delete(e.holding, s)
}

// startRuns orders tasks on the chosen workers, one each.
func (e *Engine) startRuns(s *stage, tasks []*task, chosen []*Worker, now time.Time) {
	j := s.job
	e.touch(j)
	number := 0
	for _, t := range tasks {
		number = max(number, t.number)
	}
	for i, t := range tasks {
		n := t.number + 1
		if s.step.Gang {
			n = number + 1
		}
		r := e.attach(t, chosen[i], n, now)
		r.worker.health.placed()
		e.decide(Decision{Kind: "place", Job: j.ID, Task: t.id(), Run: n, Worker: r.worker.Node, Reason: r.worker.Rack, Age: now.Sub(j.Accepted)})
	}
	j.began = true
	if j.state == wire.JobQueued {
		j.state = wire.JobRunning
	}
	e.release(s)
}

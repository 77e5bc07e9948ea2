package job

import (
	"fmt"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// maxReportAge is the age of a worker's last report beyond which it gets no new
// work: six report intervals of an agent, which covers a scheduler takeover.
const maxReportAge = 3 * time.Second

// Tick ends the runs of lost workers, opens due occurrences and places waiting
// tasks.
func (e *Engine) Tick(now time.Time) {
	e.expireWorkers(now)
	e.openDueOccurrences(now)
	e.findUnhealthyServices(now)
	e.chargeService(now)
	e.evacuateWorkers(now)
	if !e.evacuation.current {
		return
	}
	e.updateSpeeds()
	e.urgentNeed = e.sumUrgentNeed()
	defer func() { e.urgentNeed = nil }()
	queue := e.waitingStages(now)
	clear(e.reserved)
	e.reservationCount = 0
	for _, s := range queue {
		e.placeStage(s, now)
		if e.cfg.Policy.FirstCome && len(s.unplacedTasks()) > 0 {
			return
		}
	}
}

// expireWorkers removes the workers whose leases have certainly lapsed and ends
// their runs.
func (e *Engine) expireWorkers(now time.Time) {
	for key, w := range e.workers {
		if now.Before(w.leaseEnd) {
			continue
		}
		e.endAllRuns(w, "lease_lapsed", now)
		delete(e.workers, key)
		e.sortWorkers()
	}
}

// waitingStages returns the stages with tasks to place, the most urgent first.
func (e *Engine) waitingStages(now time.Time) []*stage {
	if e.urgentNeed == nil { // outside a tick
		e.urgentNeed = e.sumUrgentNeed()
		defer func() { e.urgentNeed = nil }()
	}
	var queue []*stage
	for _, j := range e.jobList {
		if j.state.Final() {
			continue
		}
		for _, s := range j.stageList {
			if s.tasksLeft > 0 && !now.Before(s.retryAt) && len(s.unplacedTasks()) > 0 {
				queue = append(queue, s)
			}
		}
	}
	rank := make(map[*stage]float64, len(queue))
	delays := e.shareDelays()
	for _, s := range queue {
		s.shareDelay = e.shareDelay(s, delays)
		rank[s] = e.rank(s, now) + s.shareDelay.Seconds()
	}
	e.sortQueue(queue, rank)
	return queue
}

// rank returns the position of a stage among those of the same priority, without the
// delay of its customer's share: by the acceptance time of its job or the due time of
// its occurrence. Stages that would finish too late to be of value come last.
func (e *Engine) rank(s *stage, now time.Time) float64 {
	rank := s.dueTime().Sub(e.createdAt).Seconds()
	if e.unhealthyServices[s.job.Service] {
		rank += probedRank * float64(s.failures) // spreads failed probes over the jobs
	}
	if !s.step.LongRunning && now.Add(e.expectedRunTime(s)).After(e.worthlessAt(s)) {
		return tooLateRank + rank
	}
	return rank
}

// probedRank, in seconds, sorts a gang behind those that have failed less often.
const probedRank = 1e4

// tooLateRank, in seconds, sorts a stage after all others of its priority.
const tooLateRank = 1e6

// placeStage places the waiting tasks of a stage. If some find no worker, it
// records the reason, preempts runs for urgent work and reserves room.
func (e *Engine) placeStage(s *stage, now time.Time) {
	if !s.holdUntil.IsZero() && now.After(s.holdUntil) {
		e.releaseHold(s)
	}
	tasks := s.unplacedTasks()
	unhealthy := e.unhealthyServices[s.job.Service] && !e.cfg.Policy.NoEjection
	if unhealthy && !s.step.Gang {
		tasks = tasks[:1] // a probe
	}
	e.limitSlowness(s, len(tasks), now)
	c := e.candidates(s, now)
	if s.step.Gang {
		if chosen := e.fitGang(s, c, len(tasks), now); chosen != nil {
			e.startRuns(s, tasks, chosen, now)
			s.waitReason = ""
			return
		}
	} else {
		tasks = e.placeIndependent(s, tasks, c, now)
		if len(tasks) == 0 {
			s.waitReason = ""
			return
		}
	}
	e.recordWaitReason(s, c, len(tasks), now)
	if s.job.Priority == 0 && s.heldTasks == nil && !s.waitsForSpeed && !e.cfg.Policy.NoReclaim {
		e.reclaim(s, tasks, now)
	}
	if !e.cfg.Policy.NoReserve {
		e.reserve(s, len(tasks), now)
	}
}

// recordWaitReason records a decision when the reason why tasks wait changes.
func (e *Engine) recordWaitReason(s *stage, c []candidate, n int, now time.Time) {
	room, near, eligible := 0, 0, 0
	for _, x := range c {
		room += min(x.taskCapacity, n)
		if x.nearData {
			near += min(x.taskCapacity, n)
		}
	}
	for _, w := range e.sortedWorkers {
		if e.eligible(w, s, now) {
			eligible++
		}
	}
	reason := "too_little_room_together"
	switch {
	case eligible == 0:
		reason = "no_worker"
	case room == 0:
		reason = "no_room"
	case near == 0:
		reason = "no_room_near_data"
	}
	if reason == s.waitReason {
		return
	}
	s.waitReason = reason
	e.recordDecision(Decision{
		Kind: "wait", Job: s.job.ID, Task: wire.TaskID{Job: s.job.ID, Occurrence: s.key.occurrence, Step: s.key.step},
		Reason: fmt.Sprintf("%s:tasks=%d,room=%d,near=%d,workers=%d,share_delay=%.1f", reason, n, room, near, eligible, s.shareDelay.Seconds()), Age: now.Sub(s.job.Accepted),
	})
}

// candidate is a worker that can run tasks of a stage now.
type candidate struct {
	w            *Worker
	taskCapacity int  // number of tasks that fit
	nearData     bool // in the rack of the stage's data, or the stage needs none
	proven       bool // nothing suggests that runs fail on the worker
}

// candidates returns the workers that can run tasks of the stage now.
func (e *Engine) candidates(s *stage, now time.Time) []candidate {
	var c []candidate
	for _, w := range e.sortedWorkers {
		if !e.eligible(w, s, now) || !s.acceptsSpeed(w) {
			continue
		}
		n := min(fitCount(e.freeFor(w, s, now), demand(s.step)), e.maxPerWorkerLeft(w, s))
		if w.health.triesOne() && !s.step.Gang {
			n = min(n, 1)
		}
		if n > 0 {
			c = append(c, candidate{
				w: w, taskCapacity: n, nearData: s.step.DataRack == "" || s.step.DataRack == w.Rack,
				proven: w.health.isProven() || e.cfg.Policy.NoEjection,
			})
		}
	}
	return c
}

// eligible reports whether the worker may run tasks of the stage, regardless of
// its free resources.
func (e *Engine) eligible(w *Worker, s *stage, now time.Time) bool {
	return e.eligibleIgnoringAdvice(w, s, now) && s.hasTicket(w, now)
}

// eligibleIgnoringAdvice is like eligible but does not require a ticket.
func (e *Engine) eligibleIgnoringAdvice(w *Worker, s *stage, now time.Time) bool {
	return w.reported && w.State == wire.WorkerReady && now.Sub(w.lastReport) <= maxReportAge &&
		w.Service == s.job.Service && !e.evacuated(w) && e.admitsRuns(w, now) &&
		(s.step.RequiredLabel == "" || slices.Contains(w.Labels, s.step.RequiredLabel))
}

// maxPerWorkerLeft returns how many more tasks of the stage the worker may run.
func (e *Engine) maxPerWorkerLeft(w *Worker, s *stage) int {
	if s.step.MaxPerWorker == 0 {
		return maxTasksPerWorker
	}
	n := s.step.MaxPerWorker
	for _, r := range w.runs {
		if r.task.stage == s {
			n--
		}
	}
	return n
}

// freeFor returns the worker's resources that are free for a stage: those not
// used, held or reserved for other stages. A reservation does not count if the
// stage is expected to end before it starts.
func (e *Engine) freeFor(w *Worker, s *stage, now time.Time) wire.Resources {
	free := sub(w.Capacity, w.used)
	for _, d := range w.unexpectedRuns {
		free = sub(free, d)
	}
	for h := range e.holders {
		if n := h.heldTasks[w]; n > 0 && h != s {
			free = sub(free, scale(demand(h.step), n))
		}
	}
	for h, r := range e.reserved {
		if n := r.tasksPerWorker[w]; n > 0 && h != s && now.Add(e.expectedOccupancy(s)).After(r.startAt) {
			free = sub(free, scale(demand(h.step), n))
		}
	}
	return free
}

// holdRoom holds room on workers for tasks of a stage until the given time.
func (e *Engine) holdRoom(s *stage, tasks map[*Worker]int, until time.Time) {
	s.heldTasks, s.holdUntil = tasks, until
	e.holders[s] = struct{}{}
}

// releaseHold releases the room held for a stage.
func (e *Engine) releaseHold(s *stage) {
	s.heldTasks, s.holdUntil = nil, time.Time{}
	delete(e.holders, s)
}

// startRuns places each task on the chosen worker of the same index.
func (e *Engine) startRuns(s *stage, tasks []*task, chosen []*Worker, now time.Time) {
	j := s.job
	e.markChanged(j)
	lastRun := 0
	for _, t := range tasks {
		lastRun = max(lastRun, t.lastRun)
	}
	forecasts := e.forecastPlacement(s, chosen)
	for i, t := range tasks {
		n := t.lastRun + 1
		if s.step.Gang {
			n = lastRun + 1
		}
		r := e.attachRun(t, chosen[i], n, now)
		r.placedFor = forecasts[i]
		r.worker.health.recordPlacement(r)
		e.recordDecision(Decision{Kind: "place", Job: j.ID, Task: t.id(), Run: n, Worker: r.worker.Node, Reason: r.worker.Rack, Age: now.Sub(j.Accepted), Expected: r.placedFor})
	}
	j.everPlaced = true
	if e.unhealthyServices[j.Service] {
		e.service(j.Service).nextProbe = now.Add(lastResortPause)
	}
	if j.state == wire.JobQueued {
		j.state = wire.JobRunning
	}
	e.releaseHold(s)
}

package trace

import (
	"time"

	"bramleythread/core/schedule"
	"bramleythread/core/worker"
)

// Outcomes of the jobs of a replay.
const (
	outcomeRan       = "ran"
	outcomeExpired   = "expired"
	outcomeRefused   = "refused"
	outcomeCancelled = "cancelled"
	outcomeFailed    = "failed"
)

// Retries of the replayed entry.
const (
	refusedPause = 20 * time.Millisecond
	failedPause  = 10 * time.Millisecond
)

// running reports whether the job occupies resources.
func (j *job) running() bool { return !j.waiting && j.outcome == "" }

func (j *job) id2() worker.ID { return worker.ID{Request: j.id, Attempt: j.attempt} }

func (w *world) submit(e Event) {
	shape := w.cfg.Shape(w.cfg.Service(e.Service).Shape)
	j := &job{
		id:       e.Job,
		customer: e.Customer,
		service:  e.Service,
		class:    w.header.Classes[e.Service],
		run:      e.RunTime,
		left:     e.RunTime,
		arrived:  w.now,
		deadline: w.now.Add(e.Timeout),
		fails:    e.AlwaysFails,
		demand:   shape.Demand,
	}
	j.guaranteed = w.guaranteed(j)
	w.jobs[j.id] = j
	w.order = append(w.order, j)
	w.open[j.id] = j
	refusal := w.sched.Submit(schedule.Spec{ID: j.id, Customer: j.customer, Service: j.service, Deadline: j.deadline}, w.now)
	if refusal != schedule.Accepted {
		w.end(j, outcomeRefused)
		return
	}
	w.enterQueue(j)
}

// guaranteed reports whether the job and its customer's other open jobs of the
// same shape fit into the customer's guarantee together.
func (w *world) guaranteed(j *job) bool {
	shape := w.cfg.Service(j.service).Shape
	open := 1
	for _, x := range w.open {
		if x.outcome == "" && x.customer == j.customer && w.cfg.Service(x.service).Shape == shape {
			open++
		}
	}
	for _, g := range w.cfg.Guarantees {
		if g.Customer == j.customer && g.Shape == shape {
			return open <= g.Count
		}
	}
	return false
}

func (w *world) enterQueue(j *job) {
	j.waiting = true
	j.epoch++
	w.meter.unplaced(j)
	j.blocked = w.meter.blocking
}

// leaveQueue adds the blocked part of the wait to the job's account.
func (w *world) leaveQueue(j *job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	j.hol += w.meter.blocking - j.blocked
}

func (w *world) end(j *job, outcome string) {
	w.leaveQueue(j)
	w.meter.unplaced(j)
	delete(w.open, j.id)
	j.outcome = outcome
	j.ended = w.now
	j.epoch++
}

func (w *world) cancel(id string) {
	j := w.jobs[id]
	if j == nil || j.outcome != "" {
		return
	}
	if w.sched.Cancel(id) {
		w.end(j, outcomeCancelled)
		return
	}
	w.stopAll(j)
	w.sched.FinishJob(id, false, w.now)
	w.end(j, outcomeCancelled)
}

// admit asks the agents of all the job's workers in the global order. The
// refusal of one frees the others.
func (w *world) admit(j *job, d schedule.Decision) {
	if j.outcome != "" || j.attempt != d.Attempt {
		return
	}
	ready := true
	var victims []*job
	for i, name := range d.Workers {
		m := w.machines[name]
		g := worker.AdmitResult{Refusal: worker.NotAccepting}
		if m.up {
			g = m.table.Admit(worker.AdmitRequest{
				ID:        j.id2(),
				Customer:  j.customer,
				Demand:    j.demand,
				HomeShape: d.Home,
				Guest:     d.Guest,
				Gang:      len(d.Workers) > 1,
			}, w.now)
		}
		for _, v := range g.Victims {
			victims = append(victims, w.jobs[v.Request])
		}
		if g.Refusal != worker.Admitted {
			w.release(j, d.Workers[:i])
			w.preemptAll(victims)
			w.after(w.header.OneWayDelay, func() { w.refused(j, d, name) })
			return
		}
		ready = ready && g.Ready
	}
	w.preemptAll(victims)
	if ready {
		w.start(j)
	}
}

func (w *world) refused(j *job, d schedule.Decision, worker string) {
	if j.outcome != "" || j.attempt != d.Attempt {
		return
	}
	m := w.machines[worker]
	if !m.up {
		w.requeueAt(j, refusedPause)
		return
	}
	free := m.table.Free()
	w.sched.RequeueRefused(j.id, worker, &free, w.now)
	w.enterQueue(j)
}

// release frees what the job holds on some workers.
func (w *world) release(j *job, names []string) {
	for _, name := range names {
		w.applyAll(w.machines[name].table.Remove(j.id2()))
	}
}

// applyAll starts the jobs that became ready on all their workers.
func (w *world) applyAll(events []worker.Event) {
	for _, e := range events {
		if e.Kind == worker.TaskReady {
			w.startIfReady(w.jobs[e.ID.Request])
		}
	}
}

func (w *world) startIfReady(j *job) {
	for _, name := range j.workers {
		t, ok := w.machines[name].table.Task(j.id2())
		if !ok || t.Phase != worker.Held {
			return
		}
	}
	w.start(j)
}

// start runs a job whose resources are all there. A gang is parked and
// released first, which takes two more round trips.
func (w *world) start(j *job) {
	failing := j.fails
	for _, name := range j.workers {
		m := w.machines[name]
		m.table.Start(j.id2(), w.now)
		failing = failing || m.failing
	}
	if j.started.IsZero() {
		j.started = w.now
	}
	j.begun = w.now
	j.epoch++
	epoch := j.epoch
	if failing {
		w.after(failTime, func() { w.failed(j, epoch) })
		return
	}
	length := j.left
	if len(j.workers) > 1 {
		length += 4 * w.header.OneWayDelay
	}
	w.after(length, func() { w.finished(j, epoch) })
}

func (w *world) finished(j *job, epoch int) {
	if j.epoch != epoch || j.outcome != "" {
		return
	}
	w.stopAll(j)
	j.epoch++
	reply := j.epoch
	w.after(w.header.OneWayDelay, func() {
		if j.epoch != reply {
			return
		}
		for _, name := range j.workers {
			w.sched.WorkerSucceeded(name)
		}
		w.sched.FinishJob(j.id, true, w.now)
		w.end(j, outcomeRan)
	})
}

// maxFailures is the number of attempts after which a job ends as failed.
const maxFailures = 4

func (w *world) failed(j *job, epoch int) {
	if j.epoch != epoch || j.outcome != "" {
		return
	}
	w.stopAll(j)
	j.failures++
	bad := j.workers[0]
	for _, name := range j.workers {
		if w.machines[name].failing {
			bad = name
		}
	}
	w.sched.WorkerFailed(bad, w.now)
	w.sched.Exclude(j.id, bad)
	if j.failures >= maxFailures || !w.sched.HasEligibleWorkers(j.id, w.now) {
		w.sched.FinishJob(j.id, false, w.now)
		w.end(j, outcomeFailed)
		return
	}
	w.requeueAt(j, failedPause)
}

// stopAll frees what the job holds on all its workers.
func (w *world) stopAll(j *job) {
	for _, name := range j.workers {
		if m := w.machines[name]; m.up {
			w.applyAll(m.table.Remove(j.id2()))
		}
	}
}

func (w *world) requeue(j *job, worker string) {
	if j.outcome != "" {
		return
	}
	w.sched.RequeueRefused(j.id, worker, nil, w.now)
	w.enterQueue(j)
}

func (w *world) requeueAt(j *job, pause time.Duration) {
	j.epoch++
	w.sched.Retry(j.id, w.now.Add(pause))
	w.enterQueue(j)
}

// preemptAll stops jobs for the sake of a home's owner. Within its grace, a
// job that is about to end may do so; the others save their state and stop.
func (w *world) preemptAll(victims []*job) {
	for _, v := range victims {
		if v == nil || v.outcome != "" {
			continue
		}
		w.preempt(v)
	}
}

func (w *world) preempt(v *job) {
	for _, name := range v.workers {
		w.machines[name].table.Stop(v.id2())
	}
	w.meter.preemptions++
	grace := w.cfg.Service(v.service).Grace
	epoch := v.epoch
	pause := min(checkpointTime, grace)
	if attained := w.now.Sub(v.begun); attained < grace {
		// Young work may use the grace to end by itself.
		pause = grace
	}
	w.after(pause, func() {
		if v.epoch != epoch || v.outcome != "" {
			return
		}
		w.checkpointed(v, pause)
	})
}

// checkpointed stops a job at its checkpoint; the work since it was asked for
// the checkpoint is lost.
func (w *world) checkpointed(v *job, pause time.Duration) {
	if ran := w.now.Sub(v.begun) - pause; ran > 0 {
		v.left = max(v.left-ran, 0)
	}
	w.meter.lost += pause * time.Duration(len(v.workers))
	v.epoch++
	w.stopAll(v)
	stopped := v.epoch
	w.after(w.header.OneWayDelay, func() {
		if v.epoch == stopped && v.outcome == "" {
			w.sched.RequeuePreempted(v.id, w.now)
			w.enterQueue(v)
		}
	})
}

package trace

import (
	"time"

	"bramleythread/core/schedule"
	"bramleythread/core/worker"
)

// Outcomes of replayed jobs.
const (
	outcomeRan       = "ran"
	outcomeExpired   = "expired"
	outcomeRefused   = "refused"
	outcomeCancelled = "cancelled"
	outcomeFailed    = "failed"
)

// Delays before the simulated entry retries a job.
const (
	refusedRetryDelay = 20 * time.Millisecond
	failedRetryDelay  = 10 * time.Millisecond
)

// running reports whether the job is placed on workers.
func (j *job) running() bool { return !j.waiting && j.outcome == "" }

func (j *job) taskID() worker.ID { return worker.ID{Request: j.id, Attempt: j.attempt} }

func (sim *simulation) submitJob(e Event) {
	shape := sim.cfg.Shape(sim.cfg.Service(e.Service).Shape)
	j := &job{
		id:          e.Job,
		customer:    e.Customer,
		service:     e.Service,
		class:       sim.header.Classes[e.Service],
		runTime:     e.RunTime,
		remaining:   e.RunTime,
		arrived:     sim.now,
		deadline:    sim.now.Add(e.Timeout),
		alwaysFails: e.AlwaysFails,
		demand:      shape.Demand,
	}
	j.withinGuarantee = sim.isWithinGuarantee(j)
	sim.jobs[j.id] = j
	sim.jobsByArrival = append(sim.jobsByArrival, j)
	sim.openJobs[j.id] = j
	refusal := sim.sched.Submit(schedule.Spec{ID: j.id, Customer: j.customer, Service: j.service, Deadline: j.deadline}, sim.now)
	if refusal != schedule.Accepted {
		sim.endJob(j, outcomeRefused)
		return
	}
	sim.enterQueue(j)
}

// isWithinGuarantee reports whether the job and the customer's other open jobs
// of the same shape together fit into the customer's guarantee.
func (sim *simulation) isWithinGuarantee(j *job) bool {
	shape := sim.cfg.Service(j.service).Shape
	count := 1
	for _, x := range sim.openJobs {
		if x.outcome == "" && x.customer == j.customer && sim.cfg.Service(x.service).Shape == shape {
			count++
		}
	}
	for _, g := range sim.cfg.Guarantees {
		if g.Customer == j.customer && g.Shape == shape {
			return count <= g.Count
		}
	}
	return false
}

func (sim *simulation) enterQueue(j *job) {
	j.waiting = true
	j.generation++
	sim.meter.jobUnplaced(j)
	j.blockedAtEnqueue = sim.meter.blockedTime
}

// leaveQueue adds the head-of-line blocking of this wait to the job's total.
func (sim *simulation) leaveQueue(j *job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	j.headOfLineTime += sim.meter.blockedTime - j.blockedAtEnqueue
}

func (sim *simulation) endJob(j *job, outcome string) {
	sim.leaveQueue(j)
	sim.meter.jobUnplaced(j)
	delete(sim.openJobs, j.id)
	j.outcome = outcome
	j.ended = sim.now
	j.generation++
}

func (sim *simulation) cancelJob(id string) {
	j := sim.jobs[id]
	if j == nil || j.outcome != "" {
		return
	}
	if sim.sched.Cancel(id) {
		sim.endJob(j, outcomeCancelled)
		return
	}
	sim.stopAll(j)
	sim.sched.FinishJob(id, false, sim.now)
	sim.endJob(j, outcomeCancelled)
}

// admit requests admission from the agents of the job's workers, in the global
// worker order. If one refuses, the resources already held on the others are
// released.
func (sim *simulation) admit(j *job, d schedule.Decision) {
	if j.outcome != "" || j.attempt != d.Attempt {
		return
	}
	ready := true
	var victims []*job
	for i, name := range d.Workers {
		m := sim.machines[name]
		result := worker.AdmitResult{Refusal: worker.NotAccepting}
		if m.up {
			result = m.table.Admit(worker.AdmitRequest{
				ID:        j.taskID(),
				Customer:  j.customer,
				Demand:    j.demand,
				HomeShape: d.Home,
				Guest:     d.Guest,
				Gang:      len(d.Workers) > 1,
			}, sim.now)
		}
		for _, v := range result.Victims {
			victims = append(victims, sim.jobs[v.Request])
		}
		if result.Refusal != worker.Admitted {
			sim.release(j, d.Workers[:i])
			sim.preemptAll(victims)
			sim.after(sim.header.OneWayDelay, func() { sim.handleRefusal(j, d, name) })
			return
		}
		ready = ready && result.Ready
	}
	sim.preemptAll(victims)
	if ready {
		sim.startJob(j)
	}
}

func (sim *simulation) handleRefusal(j *job, d schedule.Decision, worker string) {
	if j.outcome != "" || j.attempt != d.Attempt {
		return
	}
	m := sim.machines[worker]
	if !m.up {
		sim.requeueAfter(j, refusedRetryDelay)
		return
	}
	free := m.table.Free()
	sim.sched.RequeueRefused(j.id, worker, &free, sim.now)
	sim.enterQueue(j)
}

// release frees the resources of the job on the given workers.
func (sim *simulation) release(j *job, names []string) {
	for _, name := range names {
		sim.applyTableEvents(sim.machines[name].table.Remove(j.taskID()))
	}
}

// applyTableEvents starts the jobs that have become ready on all their workers.
func (sim *simulation) applyTableEvents(events []worker.Event) {
	for _, e := range events {
		if e.Kind == worker.TaskReady {
			sim.startIfReady(sim.jobs[e.ID.Request])
		}
	}
}

func (sim *simulation) startIfReady(j *job) {
	for _, name := range j.workers {
		t, ok := sim.machines[name].table.Task(j.taskID())
		if !ok || t.Phase != worker.Held {
			return
		}
	}
	sim.startJob(j)
}

// startJob runs a job that holds all its resources. The members of a gang are
// first parked and then released together, which takes two more round trips.
func (sim *simulation) startJob(j *job) {
	failing := j.alwaysFails
	for _, name := range j.workers {
		m := sim.machines[name]
		m.table.Start(j.taskID(), sim.now)
		failing = failing || m.failing
	}
	if j.started.IsZero() {
		j.started = sim.now
	}
	j.attemptStarted = sim.now
	j.generation++
	generation := j.generation
	if failing {
		sim.after(failureDelay, func() { sim.fail(j, generation) })
		return
	}
	runTime := j.remaining
	if len(j.workers) > 1 {
		runTime += 4 * sim.header.OneWayDelay
	}
	sim.after(runTime, func() { sim.finish(j, generation) })
}

func (sim *simulation) finish(j *job, generation int) {
	if j.generation != generation || j.outcome != "" {
		return
	}
	sim.stopAll(j)
	j.generation++
	replyGeneration := j.generation
	sim.after(sim.header.OneWayDelay, func() {
		if j.generation != replyGeneration {
			return
		}
		for _, name := range j.workers {
			sim.sched.WorkerSucceeded(name)
		}
		sim.sched.FinishJob(j.id, true, sim.now)
		sim.endJob(j, outcomeRan)
	})
}

// maxFailures is the number of attempts after which a job ends as failed.
const maxFailures = 4

func (sim *simulation) fail(j *job, generation int) {
	if j.generation != generation || j.outcome != "" {
		return
	}
	sim.stopAll(j)
	j.failures++
	failedWorker := j.workers[0]
	for _, name := range j.workers {
		if sim.machines[name].failing {
			failedWorker = name
		}
	}
	sim.sched.WorkerFailed(failedWorker, sim.now)
	sim.sched.Exclude(j.id, failedWorker)
	if j.failures >= maxFailures || !sim.sched.HasEligibleWorkers(j.id, sim.now) {
		sim.sched.FinishJob(j.id, false, sim.now)
		sim.endJob(j, outcomeFailed)
		return
	}
	sim.requeueAfter(j, failedRetryDelay)
}

// stopAll frees the resources of the job on all its workers.
func (sim *simulation) stopAll(j *job) {
	for _, name := range j.workers {
		if m := sim.machines[name]; m.up {
			sim.applyTableEvents(m.table.Remove(j.taskID()))
		}
	}
}

func (sim *simulation) requeue(j *job, worker string) {
	if j.outcome != "" {
		return
	}
	sim.sched.RequeueRefused(j.id, worker, nil, sim.now)
	sim.enterQueue(j)
}

func (sim *simulation) requeueAfter(j *job, delay time.Duration) {
	j.generation++
	sim.sched.Retry(j.id, sim.now.Add(delay))
	sim.enterQueue(j)
}

// preemptAll preempts the victims of an admission: the jobs that must stop so that
// a job with a guarantee fits.
func (sim *simulation) preemptAll(victims []*job) {
	for _, v := range victims {
		if v == nil || v.outcome != "" {
			continue
		}
		sim.preempt(v)
	}
}

// preempt stops a job. A job that has run for less than its grace period may
// finish within it; any other job saves a checkpoint first.
func (sim *simulation) preempt(v *job) {
	for _, name := range v.workers {
		sim.machines[name].table.Stop(v.taskID())
	}
	sim.meter.preemptions++
	grace := sim.cfg.Service(v.service).Grace
	generation := v.generation
	stopDelay := min(checkpointDuration, grace)
	if elapsed := sim.now.Sub(v.attemptStarted); elapsed < grace {
		// A job that has just started may finish within the grace period.
		stopDelay = grace
	}
	sim.after(stopDelay, func() {
		if v.generation != generation || v.outcome != "" {
			return
		}
		sim.stopAtCheckpoint(v, stopDelay)
	})
}

// stopAtCheckpoint stops a preempted job and requeues it. The work done during
// stopDelay, after the checkpoint was requested, is lost.
func (sim *simulation) stopAtCheckpoint(v *job, stopDelay time.Duration) {
	if progress := sim.now.Sub(v.attemptStarted) - stopDelay; progress > 0 {
		v.remaining = max(v.remaining-progress, 0)
	}
	sim.meter.lostWork += stopDelay * time.Duration(len(v.workers))
	v.generation++
	sim.stopAll(v)
	generation := v.generation
	sim.after(sim.header.OneWayDelay, func() {
		if v.generation == generation && v.outcome == "" {
			sim.sched.RequeuePreempted(v.id, sim.now)
			sim.enterQueue(v)
		}
	})
}

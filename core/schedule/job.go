package schedule

import (
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Submit queues a job or returns why it is refused.
func (s *Scheduler) Submit(spec Spec, now time.Time) Refusal {
	s.record(Call{Op: OpSubmit, Now: now, Spec: &spec})
	service, customer := s.cfg.Service(spec.Service), s.cfg.Customer(spec.Customer)
	switch {
	case service == nil || service.Disabled:
		return UnknownService
	case customer == nil || customer.Disabled:
		return UnknownCustomer
	case s.queued >= s.cfg.Limits.QueueLength:
		return QueueFull
	case s.queuedByCustomer[spec.Customer] >= s.cfg.Limits.CustomerQueue:
		return CustomerQueueFull
	}
	j := &Job{
		Spec:          spec,
		Shape:         *s.cfg.Shape(service.Shape),
		Repeatable:    service.Repeatable,
		Priority:      service.Priority,
		Enqueued:      now,
		deadlineIndex: noIndex,
		delayIndex:    noIndex,
	}
	s.jobs[spec.ID] = j
	s.recordArrival(j, now)
	s.enqueue(j, false)
	s.deadlines.add(j)
	return Accepted
}

func priorityClass(p config.Priority) int {
	switch p {
	case config.Urgent:
		return 0
	case config.Batch:
		return 2
	default:
		return 1
	}
}

// recordArrival adds a job's slots to the burst tracker of its service.
func (s *Scheduler) recordArrival(j *Job, now time.Time) {
	b, ok := s.bursts[j.Service]
	if !ok {
		b = &burstTracker{}
		s.bursts[j.Service] = b
		s.burstServices = append(s.burstServices, j.Service)
		slices.Sort(s.burstServices)
	}
	b.add(s.totalDemand(j).Slots, now)
}

// stragglerFactor is the multiple of its service's expected run time above which a
// job counts as a straggler.
const stragglerFactor = 8

// assignQueue sets and returns the queue of a job, creating it if needed.
func (s *Scheduler) assignQueue(j *Job) *queue {
	key := queueKey{customer: j.Customer, service: j.Service}
	key.straggler = s.policy.Stragglers && j.attained > stragglerFactor*s.ExpectedRunTime(j.Service)
	q, ok := s.queues[key]
	if !ok {
		q = &queue{key: key, shape: j.Shape, class: priorityClass(j.Priority)}
		s.queues[key] = q
		s.sortedQueues = append(s.sortedQueues, q)
		s.sortQueues()
	}
	j.queue = q
	return q
}

func (s *Scheduler) enqueue(j *Job, front bool) {
	j.state = waiting
	q := s.assignQueue(j)
	if front {
		q.pushFront(j)
	} else {
		q.push(j)
	}
	s.queued++
	s.queuedByCustomer[j.Customer]++
	s.dirty = true
}

// dequeue removes a waiting job from its queue or from the delayed jobs.
func (s *Scheduler) dequeue(j *Job) {
	j.queue.remove(j)
	s.delayed.remove(j)
	s.queued--
	s.queuedByCustomer[j.Customer]--
}

// Cancel removes a waiting job. It returns false if the job is unknown or already
// placed.
func (s *Scheduler) Cancel(id string) bool {
	s.record(Call{Op: OpCancel, Job: id})
	j, ok := s.jobs[id]
	if !ok || j.state != waiting {
		return false
	}
	s.dequeue(j)
	s.deadlines.remove(j)
	delete(s.jobs, id)
	return true
}

// RequeueRefused returns a placed job to the head of its queue because the named
// worker refused it, and updates that worker's free resources if free is not nil.
// worker is empty if the refusal concerns no particular worker.
func (s *Scheduler) RequeueRefused(id, worker string, free *config.Demand, now time.Time) {
	s.record(Call{Op: OpRequeueRefused, Now: now, Job: id, Worker: worker, Free: free})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.release(j)
	if free != nil {
		s.setFree(worker, *free)
	}
	s.enqueue(j, true)
	s.deadlines.add(j)
}

// RequeuePreempted returns a placed job that was preempted to the head of its
// queue. Its run time so far is added to the attained run time.
func (s *Scheduler) RequeuePreempted(id string, now time.Time) {
	s.record(Call{Op: OpRequeuePreempted, Now: now, Job: id})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	j.attained += now.Sub(j.started)
	s.release(j)
	s.enqueue(j, true)
	s.deadlines.add(j)
}

// SetFree overrides a worker's free resources.
func (s *Scheduler) SetFree(worker string, free config.Demand) {
	s.record(Call{Op: OpSetFree, Worker: worker, Free: &free})
	s.setFree(worker, free)
}

func (s *Scheduler) setFree(worker string, free config.Demand) {
	if w, ok := s.workers[worker]; ok {
		w.usedByOthers = w.Capacity.Sub(w.usedBySelf).Sub(free)
		s.updateIndex(w)
	}
}

// Shape returns the shape of a job, or the zero shape if the job is unknown.
func (s *Scheduler) Shape(id string) config.Shape {
	if j, ok := s.jobs[id]; ok {
		return j.Shape
	}
	return config.Shape{}
}

// Exclude prevents a job from being placed on a worker again.
func (s *Scheduler) Exclude(id, worker string) {
	s.record(Call{Op: OpExclude, Job: id, Worker: worker})
	if j, ok := s.jobs[id]; ok && worker != "" {
		if j.excludedWorkers == nil {
			j.excludedWorkers = make(map[string]bool)
		}
		j.excludedWorkers[worker] = true
	}
}

// HasEligibleWorkers reports whether enough workers for the job are usable, offer
// its service and are not excluded for it.
func (s *Scheduler) HasEligibleWorkers(id string, now time.Time) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	n := 0
	for _, w := range s.sortedWorkers {
		if s.eligible(w, j, now) {
			n++
		}
	}
	return n >= j.Shape.Workers
}

// Retry returns a placed job to its queue, to be placed at the given time or later.
func (s *Scheduler) Retry(id string, at time.Time) {
	s.record(Call{Op: OpRetry, Job: id, At: at})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.release(j)
	j.state = waiting
	s.assignQueue(j)
	j.notBefore = at
	s.queued++
	s.queuedByCustomer[j.Customer]++
	s.delayed.add(j)
	s.deadlines.add(j)
}

// FinishJob removes a placed job that has ended. If it succeeded, its run time
// updates the estimate of its service.
func (s *Scheduler) FinishJob(id string, succeeded bool, now time.Time) {
	s.record(Call{Op: OpFinishJob, Now: now, Job: id, Succeeded: succeeded})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	ran := j.attained + now.Sub(j.started)
	s.release(j)
	delete(s.jobs, id)
	if succeeded {
		s.runTimeEstimate(j.Service).observe(ran)
	}
}

func (s *Scheduler) runTimeEstimate(service string) *runTimeEstimate {
	r, ok := s.runTimeEstimates[service]
	if !ok {
		r = &runTimeEstimate{}
		s.runTimeEstimates[service] = r
	}
	return r
}

// WorkerSucceeded clears a worker's failures and ends its ejection.
func (s *Scheduler) WorkerSucceeded(worker string) {
	s.record(Call{Op: OpWorkerSucceeded, Worker: worker})
	if w, ok := s.workers[worker]; ok {
		if w.health.ejected {
			s.ejectedCount--
		}
		w.health.succeeded()
	}
}

// WorkerFailed counts a failure of a worker and reports whether it ejected the
// worker. At most EjectPercent of the workers are ejected at a time.
func (s *Scheduler) WorkerFailed(worker string, now time.Time) bool {
	s.record(Call{Op: OpWorkerFailed, Now: now, Worker: worker})
	w, ok := s.workers[worker]
	if !ok {
		return false
	}
	mayEject := (s.ejectedCount+1)*100 <= s.cfg.Limits.EjectPercent*len(s.sortedWorkers)
	if !w.health.failed(now, mayEject) {
		return false
	}
	s.ejectedCount++
	return true
}

// homeUse returns the home that a job uses and whether it is a guest there. ok is
// false if the job borrows.
func (j *Job) homeUse() (use homeUse, ok bool) {
	if j.Home == "" {
		return homeUse{}, false
	}
	return homeUse{key: plan.HomeKey{Customer: j.Customer, Shape: j.Home}, guest: j.Guest}, true
}

// allocate adds a job's demand to the usage of the workers it is placed on.
func (s *Scheduler) allocate(j *Job) {
	j.runningElement = j.queue.running.PushBack(j)
	use, home := j.homeUse()
	for _, w := range j.Workers {
		w.usedBySelf = w.usedBySelf.Add(j.Shape.Demand)
		w.jobs[j] = struct{}{}
		s.updateIndex(w)
		w.health.placed()
		if home {
			w.usedInHomes[use] = w.usedInHomes[use].Add(j.Shape.Demand)
		}
	}
	s.usedByCustomer[j.Customer] = s.usedByCustomer[j.Customer].Add(j.Shape.Demand.Scale(len(j.Workers)))
}

// release undoes allocate and clears the placement of the job.
func (s *Scheduler) release(j *Job) {
	j.queue.running.Remove(j.runningElement)
	j.runningElement = nil
	if j.stopping {
		j.stopping = false
		s.pendingFree = s.pendingFree.Sub(s.totalDemand(j))
	}
	use, home := j.homeUse()
	for _, w := range j.Workers {
		w.usedBySelf = w.usedBySelf.Sub(j.Shape.Demand)
		delete(w.jobs, j)
		s.updateIndex(w)
		w.health.cancelProbe()
		if home {
			w.usedInHomes[use] = w.usedInHomes[use].Sub(j.Shape.Demand)
		}
	}
	s.usedByCustomer[j.Customer] = s.usedByCustomer[j.Customer].Sub(j.Shape.Demand.Scale(len(j.Workers)))
	j.Workers = nil
	j.Home, j.Guest = "", false
	s.dirty = true
}

package schedule

import (
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Submit queues a job.
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
	case s.customers[spec.Customer] >= s.cfg.Limits.CustomerQueue:
		return CustomerQueueFull
	}
	j := &Job{
		Spec:          spec,
		JobShape:      *s.cfg.Shape(service.Shape),
		Repeatable:    service.Repeatable,
		Priority:      service.Priority,
		Enqueued:      now,
		deadlineIndex: noIndex,
		delayIndex:    noIndex,
	}
	s.jobs[spec.ID] = j
	s.noteArrival(j, now)
	s.enqueue(j, false)
	s.deadlines.add(j)
	return Accepted
}

func class(p config.Priority) int {
	switch p {
	case config.Urgent:
		return 0
	case config.Batch:
		return 2
	default:
		return 1
	}
}

// noteArrival counts a job towards the bursts of its service.
func (s *Scheduler) noteArrival(j *Job, now time.Time) {
	b, ok := s.bursts[j.Service]
	if !ok {
		b = &burst{}
		s.bursts[j.Service] = b
		s.services = append(s.services, j.Service)
		slices.Sort(s.services)
	}
	b.arrived(s.demand(j).Slots, now)
}

// stragglerTimes is the multiple of a service's learned run time from which on
// a job counts as a straggler.
const stragglerTimes = 8

// enter makes the lane that a job belongs to its lane.
func (s *Scheduler) enter(j *Job) *lane {
	key := laneKey{customer: j.Customer, service: j.Service}
	key.straggler = s.policy.Stragglers && j.attained > stragglerTimes*s.ExpectedRunTime(j.Service)
	l, ok := s.lanes[key]
	if !ok {
		l = &lane{key: key, shape: j.JobShape, class: class(j.Priority)}
		s.lanes[key] = l
		s.laneList = append(s.laneList, l)
		s.sortLanes()
	}
	j.lane = l
	return l
}

func (s *Scheduler) enqueue(j *Job, front bool) {
	j.state = waiting
	l := s.enter(j)
	if front {
		l.pushFront(j)
	} else {
		l.push(j)
	}
	s.queued++
	s.customers[j.Customer]++
	s.dirty = true
}

// dequeue takes a waiting job out of its lane or out of its delay.
func (s *Scheduler) dequeue(j *Job) {
	j.lane.remove(j)
	s.delayed.remove(j)
	s.queued--
	s.customers[j.Customer]--
}

// Cancel removes a waiting job. It reports false if the job is unknown or has
// been placed.
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

// RequeueRefused puts a placed job back at the head of its queue, because the worker
// named did not take it, and replaces what is known of that worker's free
// resources. An empty worker name tells of no worker in particular.
func (s *Scheduler) RequeueRefused(id, worker string, free *config.Demand, now time.Time) {
	s.record(Call{Op: OpRequeueRefused, Now: now, Job: id, Worker: worker, Free: free})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.unplace(j)
	if free != nil {
		s.setFree(worker, *free)
	}
	s.enqueue(j, true)
	s.deadlines.add(j)
}

// RequeuePreempted puts a placed job back at the head of its queue, whose work was
// stopped. The time that it has run counts as attained.
func (s *Scheduler) RequeuePreempted(id string, now time.Time) {
	s.record(Call{Op: OpRequeuePreempted, Now: now, Job: id})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	j.attained += now.Sub(j.started)
	s.unplace(j)
	s.enqueue(j, true)
	s.deadlines.add(j)
}

// SetFree replaces what is known of a worker's free resources.
func (s *Scheduler) SetFree(worker string, free config.Demand) {
	s.record(Call{Op: OpSetFree, Worker: worker, Free: &free})
	s.setFree(worker, free)
}

func (s *Scheduler) setFree(worker string, free config.Demand) {
	if w, ok := s.workers[worker]; ok {
		w.others = w.Capacity.Sub(w.mine).Sub(free)
		s.touch(w)
	}
}

// Shape returns the shape of a job; the zero shape if it is unknown.
func (s *Scheduler) Shape(id string) config.Shape {
	if j, ok := s.jobs[id]; ok {
		return j.JobShape
	}
	return config.Shape{}
}

// Exclude keeps a job from being placed on a worker again.
func (s *Scheduler) Exclude(id, worker string) {
	s.record(Call{Op: OpExclude, Job: id, Worker: worker})
	if j, ok := s.jobs[id]; ok && worker != "" {
		if j.excluded == nil {
			j.excluded = make(map[string]bool)
		}
		j.excluded[worker] = true
	}
}

// HasEligibleWorkers reports whether there are enough workers that are not ejected and
// that the job has not been excluded from.
func (s *Scheduler) HasEligibleWorkers(id string, now time.Time) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	n := 0
	for _, w := range s.order {
		if s.eligible(w, j, now) {
			n++
		}
	}
	return n >= j.JobShape.Workers
}

// Retry puts a placed job back in its queue, to be placed no sooner than at
// the given time.
func (s *Scheduler) Retry(id string, at time.Time) {
	s.record(Call{Op: OpRetry, Job: id, At: at})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.unplace(j)
	j.state = waiting
	s.enter(j)
	j.notUntil = at
	s.queued++
	s.customers[j.Customer]++
	s.delayed.add(j)
	s.deadlines.add(j)
}

// FinishJob removes a placed job. The run time of one that has ended well is
// learned from.
func (s *Scheduler) FinishJob(id string, well bool, now time.Time) {
	s.record(Call{Op: OpFinishJob, Now: now, Job: id, Succeeded: well})
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	ran := j.attained + now.Sub(j.started)
	s.unplace(j)
	delete(s.jobs, id)
	if well {
		s.runTimes(j.Service).observe(ran)
	}
}

func (s *Scheduler) runTimes(service string) *runTimes {
	r, ok := s.learned[service]
	if !ok {
		r = &runTimes{}
		s.learned[service] = r
	}
	return r
}

// WorkerSucceeded clears a worker's failure record.
func (s *Scheduler) WorkerSucceeded(worker string) {
	s.record(Call{Op: OpWorkerSucceeded, Worker: worker})
	if w, ok := s.workers[worker]; ok {
		if w.health.ejected {
			s.ejected--
		}
		w.health.succeeded()
	}
}

// WorkerFailed counts a failure of a worker and reports whether it was ejected. No
// more than the configured share of the workers is ejected at once.
func (s *Scheduler) WorkerFailed(worker string, now time.Time) bool {
	s.record(Call{Op: OpWorkerFailed, Now: now, Worker: worker})
	w, ok := s.workers[worker]
	if !ok {
		return false
	}
	mayEject := (s.ejected+1)*100 <= s.cfg.Limits.EjectPercent*len(s.order)
	if !w.health.failed(now, mayEject) {
		return false
	}
	s.ejected++
	return true
}

// homeUse returns the way in which a job uses a home; ok is false if it
// borrows.
func (j *Job) homeUse() (use homeUse, ok bool) {
	if j.Home == "" {
		return homeUse{}, false
	}
	return homeUse{key: plan.HomeKey{Customer: j.Customer, Shape: j.Home}, guest: j.Guest}, true
}

// occupy books a job's demand on the workers that it is placed on.
func (s *Scheduler) occupy(j *Job) {
	j.running = j.lane.running.PushBack(j)
	use, home := j.homeUse()
	for _, w := range j.Workers {
		w.mine = w.mine.Add(j.JobShape.Demand)
		w.jobs[j] = struct{}{}
		s.touch(w)
		w.health.placed()
		if home {
			w.inHome[use] = w.inHome[use].Add(j.JobShape.Demand)
		}
	}
	s.used[j.Customer] = s.used[j.Customer].Add(j.JobShape.Demand.Scale(len(j.Workers)))
}

func (s *Scheduler) unplace(j *Job) {
	j.lane.running.Remove(j.running)
	j.running = nil
	if j.stopping {
		j.stopping = false
		s.freeing = s.freeing.Sub(s.demand(j))
	}
	use, home := j.homeUse()
	for _, w := range j.Workers {
		w.mine = w.mine.Sub(j.JobShape.Demand)
		delete(w.jobs, j)
		s.touch(w)
		w.health.idle()
		if home {
			w.inHome[use] = w.inHome[use].Sub(j.JobShape.Demand)
		}
	}
	s.used[j.Customer] = s.used[j.Customer].Sub(j.JobShape.Demand.Scale(len(j.Workers)))
	j.Workers = nil
	j.Home, j.Guest = "", false
	s.dirty = true
}

package schedule

import (
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// Submit queues a job.
func (s *Scheduler) Submit(spec Spec, now time.Time) Refusal {
	service, customer := s.cfg.Service(spec.Service), s.cfg.Customer(spec.Customer)
	switch {
	case service == nil || service.Disabled:
		return UnknownService
	case customer == nil || customer.Disabled:
		return UnknownCustomer
	case s.queued >= s.cfg.Limits.QueueLength:
		return QueueFull
	case s.customers[spec.Customer] >= s.cfg.Limits.CustomerQueue:
		return CustomerFull
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

func (s *Scheduler) lane(j *Job) *lane {
	key := laneKey{customer: j.Customer, service: j.Service}
	l, ok := s.lanes[key]
	if !ok {
		l = &lane{key: key, shape: j.Shape, class: class(j.Priority)}
		s.lanes[key] = l
	}
	return l
}

func (s *Scheduler) enqueue(j *Job, front bool) {
	j.state = waiting
	l := s.lane(j)
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
	s.lane(j).remove(j)
	s.delayed.remove(j)
	s.queued--
	s.customers[j.Customer]--
}

// Cancel removes a waiting job. It reports false if the job is unknown or has
// been placed.
func (s *Scheduler) Cancel(id string) bool {
	j, ok := s.jobs[id]
	if !ok || j.state != waiting {
		return false
	}
	s.dequeue(j)
	s.deadlines.remove(j)
	delete(s.jobs, id)
	return true
}

// Refused puts a placed job back at the head of its queue, because the worker
// named did not take it, and replaces what is known of that worker's free
// resources. An empty worker name tells of no worker in particular.
func (s *Scheduler) Refused(id, worker string, free *config.Demand, now time.Time) {
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.unplace(j)
	if free != nil {
		s.SetFree(worker, *free)
	}
	s.enqueue(j, true)
	s.deadlines.add(j)
}

// SetFree replaces what is known of a worker's free resources.
func (s *Scheduler) SetFree(worker string, free config.Demand) {
	if w, ok := s.workers[worker]; ok {
		w.others = w.Capacity.Sub(w.mine).Sub(free)
	}
}

// Shape returns the shape of a job; the zero shape if it is unknown.
func (s *Scheduler) Shape(id string) config.Shape {
	if j, ok := s.jobs[id]; ok {
		return j.Shape
	}
	return config.Shape{}
}

// Exclude keeps a job from being placed on a worker again.
func (s *Scheduler) Exclude(id, worker string) {
	if j, ok := s.jobs[id]; ok && worker != "" {
		if j.excluded == nil {
			j.excluded = make(map[string]bool)
		}
		j.excluded[worker] = true
	}
}

// HasOther reports whether there are enough workers that the job has not been
// excluded from.
func (s *Scheduler) HasOther(id string, now time.Time) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	n := 0
	for _, w := range s.order {
		if w.inService(now) && w.takes(j) {
			n++
		}
	}
	return n >= j.Shape.Workers
}

// Retry puts a placed job back in its queue, to be placed no sooner than at
// the given time.
func (s *Scheduler) Retry(id string, at time.Time) {
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.unplace(j)
	j.state = waiting
	j.notUntil = at
	s.queued++
	s.customers[j.Customer]++
	s.delayed.add(j)
	s.deadlines.add(j)
}

// Started notes that a placed job has begun to run.
func (s *Scheduler) Started(id string, now time.Time) {
	if j, ok := s.jobs[id]; ok {
		j.started = now
	}
}

// Ended removes a placed job. A run time above zero is learned from.
func (s *Scheduler) Ended(id string, ran time.Duration) {
	j, ok := s.jobs[id]
	if !ok || j.state != placed {
		return
	}
	s.unplace(j)
	delete(s.jobs, id)
	if ran > 0 {
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

// Succeeded clears a worker's failure record.
func (s *Scheduler) Succeeded(worker string) {
	if w, ok := s.workers[worker]; ok {
		if w.health.ejected {
			s.ejected--
		}
		w.health.succeeded()
	}
}

// Failed counts a failure of a worker and reports whether it was ejected. No
// more than the configured share of the workers is ejected at once.
func (s *Scheduler) Failed(worker string, now time.Time) bool {
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
	return homeUse{key: plan.Key{Customer: j.Customer, Shape: j.Home}, guest: j.Guest}, true
}

// occupy books a job's demand on the workers that it is placed on.
func (s *Scheduler) occupy(j *Job) {
	use, home := j.homeUse()
	for _, w := range j.Workers {
		w.mine = w.mine.Add(j.Shape.Demand)
		w.jobs[j] = struct{}{}
		w.health.placed()
		if home {
			w.inHome[use] = w.inHome[use].Add(j.Shape.Demand)
		}
	}
	s.used[j.Customer] = s.used[j.Customer].Add(j.Shape.Demand.Scale(len(j.Workers)))
}

func (s *Scheduler) unplace(j *Job) {
	use, home := j.homeUse()
	for _, w := range j.Workers {
		w.mine = w.mine.Sub(j.Shape.Demand)
		delete(w.jobs, j)
		w.health.idle()
		if home {
			w.inHome[use] = w.inHome[use].Sub(j.Shape.Demand)
		}
	}
	s.used[j.Customer] = s.used[j.Customer].Sub(j.Shape.Demand.Scale(len(j.Workers)))
	j.Workers = nil
	j.Home, j.Guest = "", false
	s.dirty = true
}

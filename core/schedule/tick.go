package schedule

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/config"
)

// Tick returns the decisions that are due: expired jobs first, then placements and
// preemptions. The caller must carry out every decision.
func (s *Scheduler) Tick(now time.Time) []Decision {
	decisions, ran := s.tick(now)
	if ran || len(decisions) > 0 {
		s.record(Call{Op: OpTick, Now: now, Decisions: decisions})
	}
	return decisions
}

// tick makes the decisions of Tick. It looks at the queues only if something
// changed since the last tick, and reports in ran whether it did.
func (s *Scheduler) tick(now time.Time) (decisions []Decision, ran bool) {
	decisions = s.expire(now)
	s.requeueDelayed(now)
	if !s.nextWake.IsZero() && !now.Before(s.nextWake) {
		s.nextWake = time.Time{}
		s.dirty = true
	}
	if !s.dirty {
		return decisions, false
	}
	s.dirty = false
	return s.placeAll(now, decisions), true
}

// NextTimer returns the time at which Tick must be called even without a new event.
// ok is false if there is none.
func (s *Scheduler) NextTimer() (at time.Time, ok bool) {
	at, ok = s.deadlines.next()
	if d, has := s.delayed.next(); has && (!ok || d.Before(at)) {
		at, ok = d, true
	}
	if !s.nextWake.IsZero() && (!ok || s.nextWake.Before(at)) {
		at, ok = s.nextWake, true
	}
	return at, ok
}

// wakeAt requests a tick at a later time even if no event occurs before.
func (s *Scheduler) wakeAt(at, now time.Time) {
	if at.After(now) && (s.nextWake.IsZero() || at.Before(s.nextWake)) {
		s.nextWake = at
	}
}

// sortQueues sorts the queues. The order is total, so that decisions do not depend
// on the iteration order of maps.
func (s *Scheduler) sortQueues() {
	slices.SortFunc(s.sortedQueues, func(a, b *queue) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.key.customer, b.key.customer),
			cmp.Compare(a.key.service, b.key.service),
			config.CompareBool(a.key.straggler, b.key.straggler),
		)
	})
}

// expire removes the waiting jobs whose deadline has passed.
func (s *Scheduler) expire(now time.Time) []Decision {
	var decisions []Decision
	for j := s.deadlines.popDue(now); j != nil; j = s.deadlines.popDue(now) {
		s.dequeue(j)
		delete(s.jobs, j.ID)
		decisions = append(decisions, Decision{Kind: Expire, Job: j.ID, Attempt: j.Attempt, Reason: "deadline"})
	}
	return decisions
}

// requeueDelayed returns delayed jobs to the head of their queues when due.
func (s *Scheduler) requeueDelayed(now time.Time) {
	for j := s.delayed.popDue(now); j != nil; j = s.delayed.popDue(now) {
		j.queue.pushFront(j)
		s.dirty = true
	}
}

// placeAll places the heads of the queues in rank order until nothing more fits.
// Then it preempts jobs for those that still wait.
func (s *Scheduler) placeAll(now time.Time, decisions []Decision) []Decision {
	for _, q := range s.sortedQueues {
		q.blocked = q.jobs.Len() == 0
	}
	s.renewReservations()
	for q := s.nextQueue(now); q != nil; q = s.nextQueue(now) {
		j := q.head()
		c, ok := s.findCandidate(j, now)
		if !ok {
			q.blocked = true
			decisions = s.reserve(j, now, decisions)
			if s.policy.StrictFCFS {
				break
			}
			continue
		}
		decisions = append(decisions, s.place(j, c, now))
		q.blocked = q.jobs.Len() == 0
	}
	return s.preemptForQueues(now, decisions)
}

func (s *Scheduler) place(j *Job, c candidate, now time.Time) Decision {
	s.dequeue(j)
	s.deadlines.remove(j)
	j.state = placed
	j.Attempt++
	j.started = now
	j.Workers = c.workers
	j.Home, j.Guest = c.home, c.guest
	s.allocate(j)
	return Decision{Kind: Place, Job: j.ID, Attempt: j.Attempt, Workers: workerNames(c.workers), Home: c.home, Guest: c.guest, Reason: c.reason}
}

// nextQueue returns the queue whose head is placed next, or nil.
func (s *Scheduler) nextQueue(now time.Time) *queue {
	var best *queue
	var bestCost float64
	for _, q := range s.sortedQueues {
		if q.blocked {
			continue
		}
		cost := s.cost(q, now)
		if best == nil || s.less(q, cost, best, bestCost) {
			best, bestCost = q, cost
		}
	}
	return best
}

// less reports whether queue a ranks before b: by class, cost and, to make the
// order total, key.
func (s *Scheduler) less(a *queue, costA float64, b *queue, costB float64) bool {
	if a.class != b.class && !s.policy.StrictFCFS {
		return a.class < b.class
	}
	if costA != costB {
		return costA < costB
	}
	if a.key.customer != b.key.customer {
		return a.key.customer < b.key.customer
	}
	if a.key.service != b.key.service {
		return a.key.service < b.key.service
	}
	return b.key.straggler
}

// cost ranks a queue within its class, lowest first. Without ShortFirst and
// FairShare it is the arrival time of the head.
func (s *Scheduler) cost(q *queue, now time.Time) float64 {
	head := q.head()
	if !s.policy.ShortFirst && !s.policy.FairShare {
		return float64(head.Enqueued.UnixNano())
	}
	cost := 1.0
	if s.policy.ShortFirst {
		cost *= max(s.ExpectedRunTime(q.key.service), head.attained).Seconds()
	}
	if s.policy.FairShare {
		cost *= 1 + s.weightedShare(q.key.customer)
	}
	if s.policy.Ageing > 0 {
		cost /= 1 + now.Sub(head.Enqueued).Seconds()/s.policy.Ageing.Seconds()
	}
	return cost
}

// ExpectedRunTime returns the estimated run time of a service.
func (s *Scheduler) ExpectedRunTime(service string) time.Duration {
	var declared time.Duration
	if v := s.cfg.Service(service); v != nil && s.policy.DeclaredRunTimes {
		declared = v.RunTime
	}
	return s.runTimeEstimate(service).value(declared)
}

// weightedShare returns the slots that a customer uses, relative to its weighted
// share of all slots: 1 is exactly its share.
func (s *Scheduler) weightedShare(customer string) float64 {
	if s.totalCapacity.Slots == 0 || s.weightSum == 0 {
		return 0
	}
	fair := float64(s.totalCapacity.Slots) * float64(max(s.weights[customer], 1)) / float64(s.weightSum)
	return float64(s.usedByCustomer[customer].Slots) / fair
}

// overQuota reports whether placing a job would exceed its customer's quota.
func (s *Scheduler) overQuota(j *Job) bool {
	c := s.cfg.Customer(j.Customer)
	if c == nil || c.Quota == 0 {
		return false
	}
	after := s.usedByCustomer[j.Customer].Add(s.totalDemand(j))
	return after.Accelerators > c.Quota
}

// totalDemand returns the demand of a job on all its workers together.
func (s *Scheduler) totalDemand(j *Job) config.Demand {
	return j.Shape.Demand.Scale(j.Shape.Workers)
}

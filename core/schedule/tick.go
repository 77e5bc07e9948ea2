package schedule

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/config"
)

// Tick runs the systems and returns their decisions: first what has expired,
// then what is placed. The caller carries out every decision.
func (s *Scheduler) Tick(now time.Time) []Decision {
	decisions, ran := s.run(now)
	if ran || len(decisions) > 0 {
		s.record(Call{Op: OpTick, Now: now, Decisions: decisions})
	}
	return decisions
}

// run reports ran if it has looked at the queue, which it does after a change
// only.
func (s *Scheduler) run(now time.Time) (decisions []Decision, ran bool) {
	decisions = s.expire(now)
	s.undelay(now)
	if !s.timer.IsZero() && !now.Before(s.timer) {
		s.timer = time.Time{}
		s.dirty = true
	}
	if !s.dirty {
		return decisions, false
	}
	s.dirty = false
	return s.placeAll(now, decisions), true
}

// NextTimer returns the time at which Tick has something to do without a new
// event; ok is false if there is none.
func (s *Scheduler) NextTimer() (at time.Time, ok bool) {
	at, ok = s.deadlines.next()
	if d, has := s.delayed.next(); has && (!ok || d.Before(at)) {
		at, ok = d, true
	}
	if !s.timer.IsZero() && (!ok || s.timer.Before(at)) {
		at, ok = s.timer, true
	}
	return at, ok
}

// wakeAt asks for a tick at a later time, though nothing may happen before.
func (s *Scheduler) wakeAt(at, now time.Time) {
	if at.After(now) && (s.timer.IsZero() || at.Before(s.timer)) {
		s.timer = at
	}
}

// sortLanes puts the lanes into an order that does not depend on chance.
func (s *Scheduler) sortLanes() {
	slices.SortFunc(s.laneList, func(a, b *lane) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.key.customer, b.key.customer),
			cmp.Compare(a.key.service, b.key.service),
			config.CompareBool(a.key.straggler, b.key.straggler),
		)
	})
}

// expire ends the waiting jobs whose deadline has passed.
func (s *Scheduler) expire(now time.Time) []Decision {
	var decisions []Decision
	for j := s.deadlines.due(now); j != nil; j = s.deadlines.due(now) {
		s.dequeue(j)
		delete(s.jobs, j.ID)
		decisions = append(decisions, Decision{Kind: Expire, Job: j.ID, Attempt: j.Attempt, Reason: "deadline"})
	}
	return decisions
}

// undelay returns the delayed jobs whose time has come to their lanes.
func (s *Scheduler) undelay(now time.Time) {
	for j := s.delayed.due(now); j != nil; j = s.delayed.due(now) {
		j.lane.pushFront(j)
		s.dirty = true
	}
}

// placeAll places the heads of the lanes, the most pressing first, until
// nothing more fits.
func (s *Scheduler) placeAll(now time.Time, decisions []Decision) []Decision {
	for _, l := range s.laneList {
		l.blocked = l.jobs.Len() == 0
	}
	s.renewReservations()
	for l := s.mostPressing(now); l != nil; l = s.mostPressing(now) {
		j := l.head()
		c, ok := s.find(j, now)
		if !ok {
			l.blocked = true
			decisions = s.reserve(j, now, decisions)
			if s.policy.StrictFCFS {
				break
			}
			continue
		}
		decisions = append(decisions, s.place(j, c, now))
		l.blocked = l.jobs.Len() == 0
	}
	return s.makeRoom(now, decisions)
}

func (s *Scheduler) place(j *Job, c candidate, now time.Time) Decision {
	s.dequeue(j)
	s.deadlines.remove(j)
	j.state = placed
	j.Attempt++
	j.started = now
	j.Workers = c.workers
	j.Home, j.Guest = c.home, c.guest
	s.occupy(j)
	return Decision{Kind: Place, Job: j.ID, Attempt: j.Attempt, Workers: workerNames(c.workers), Home: c.home, Guest: c.guest, Reason: c.reason}
}

// mostPressing returns the lane whose head is placed next, or nil.
func (s *Scheduler) mostPressing(now time.Time) *lane {
	var best *lane
	var bestCost float64
	for _, l := range s.laneList {
		if l.blocked {
			continue
		}
		cost := s.cost(l, now)
		if best == nil || s.before(l, cost, best, bestCost) {
			best, bestCost = l, cost
		}
	}
	return best
}

// before orders lanes by class, cost and, to be total, by name.
func (s *Scheduler) before(a *lane, costA float64, b *lane, costB float64) bool {
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

// cost ranks a lane within its class; the least is placed first. Without any
// rule it is the time at which the head arrived.
func (s *Scheduler) cost(l *lane, now time.Time) float64 {
	head := l.head()
	if !s.policy.ShortFirst && !s.policy.FairShare {
		return float64(head.Enqueued.UnixNano())
	}
	cost := 1.0
	if s.policy.ShortFirst {
		cost *= max(s.ExpectedRunTime(l.key.service), head.attained).Seconds()
	}
	if s.policy.FairShare {
		cost *= 1 + s.share(l.key.customer)
	}
	if s.policy.Ageing > 0 {
		cost /= 1 + now.Sub(head.Enqueued).Seconds()/s.policy.Ageing.Seconds()
	}
	return cost
}

// ExpectedRunTime returns the run time that is expected of a service.
func (s *Scheduler) ExpectedRunTime(service string) time.Duration {
	var declared time.Duration
	if v := s.cfg.Service(service); v != nil && s.policy.DeclaredRunTimes {
		declared = v.RunTime
	}
	return s.runTimes(service).typical(declared)
}

// share returns what a customer uses, as a multiple of its weighted share of
// the slots.
func (s *Scheduler) share(customer string) float64 {
	if s.total.Slots == 0 || s.weightSum == 0 {
		return 0
	}
	fair := float64(s.total.Slots) * float64(max(s.weights[customer], 1)) / float64(s.weightSum)
	return float64(s.used[customer].Slots) / fair
}

// overQuota reports whether a job would take its customer over its quota.
func (s *Scheduler) overQuota(j *Job) bool {
	c := s.cfg.Customer(j.Customer)
	if c == nil || c.Quota == 0 {
		return false
	}
	after := s.used[j.Customer].Add(s.demand(j))
	return after.Accelerators > c.Quota
}

// demand returns what a job takes on all its workers together.
func (s *Scheduler) demand(j *Job) config.Demand {
	return j.JobShape.Demand.Scale(j.JobShape.Workers)
}

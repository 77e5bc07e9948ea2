package schedule

import "time"

// Bounds of the yielding of long work.
const (
	yieldRatio   = 8                     // expected rest of the work that yields, in run times of the short work
	yieldQuantum = 2 * time.Second       // a job runs at least this long before it yields
	yieldWait    = 20 * time.Millisecond // a short job waits at least this long before others yield
)

// makeRoom tells long work to yield where short work waits for want of
// resources.
func (s *Scheduler) makeRoom(now time.Time, decisions []Decision) []Decision {
	if !s.policy.MakeRoom {
		return decisions
	}
	missing := -s.freeing.Slots
	for _, l := range s.laneList {
		head := l.head()
		if head == nil || l.key.straggler || l.shape.Workers > 1 {
			continue
		}
		if now.Sub(head.Enqueued) < yieldWait || s.overQuota(head) {
			s.wakeAt(head.Enqueued.Add(yieldWait), now)
			continue
		}
		missing += l.jobs.Len() * l.shape.Demand.Slots
		limit := yieldRatio * s.ExpectedRunTime(l.key.service)
		for missing > 0 {
			v := s.victim(l, limit, now)
			if v == nil {
				break
			}
			missing -= s.demand(v).Slots
			decisions = append(decisions, s.yield(v, "makes_room"))
		}
	}
	return decisions
}

// yield tells a placed job to make room.
func (s *Scheduler) yield(v *Job, reason string) Decision {
	v.stopping = true
	s.freeing = s.freeing.Add(s.demand(v))
	return Decision{Kind: Preempt, Job: v.ID, Attempt: v.Attempt, Workers: workerNames(v.Workers), Reason: reason}
}

// victim returns the job that yields to a lane: one whose rest is expected to
// take longer than limit, the smallest first, then the one that has run for
// the longest; nil if there is none.
func (s *Scheduler) victim(waiting *lane, limit time.Duration, now time.Time) *Job {
	var best *Job
	for _, l := range s.laneList {
		if l.class < waiting.class {
			continue
		}
		for e := l.running.Front(); e != nil; e = e.Next() {
			v := e.Value.(*Job)
			if s.rest(v, now) < limit {
				if l.class <= waiting.class && !l.key.straggler {
					break // of its own class, a lane gives only what it has run for long
				}
				continue
			}
			if s.mayYield(v, now) && (best == nil || s.size(v) < s.size(best)) {
				best = v
			}
			if best != nil && s.size(best) == s.laneSize(l) {
				break
			}
		}
	}
	return best
}

func (s *Scheduler) size(j *Job) int { return s.demand(j).Slots }

func (s *Scheduler) laneSize(l *lane) int { return l.shape.Demand.Slots * l.shape.Workers }

// rest estimates how long a placed job will still run. One that has run for
// longer than its service usually does is expected to run as long again.
func (s *Scheduler) rest(j *Job, now time.Time) time.Duration {
	attained := j.attained + now.Sub(j.started)
	typical := s.ExpectedRunTime(j.Service)
	if attained < typical {
		return typical - attained
	}
	return attained
}

// mayYield reports whether a placed job can be told to make room: borrowed,
// repeatable work that has run for the quantum.
func (s *Scheduler) mayYield(j *Job, now time.Time) bool {
	return j.Home == "" && s.mayMove(j, now)
}

// mayMove reports whether a placed job can go on elsewhere.
func (s *Scheduler) mayMove(j *Job, now time.Time) bool {
	return j.Repeatable && !j.stopping && now.Sub(j.started) >= yieldQuantum
}

func workerNames(workers []*Worker) []string {
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.Name
	}
	return names
}

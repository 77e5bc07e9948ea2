package schedule

import "time"

// Limits of the preemption of long-running jobs for short ones.
const (
	preemptRatio      = 8                     // minimum remaining time of the preempted job, in run times of the short job
	minPreemptRunTime = 2 * time.Second       // minimum run time before a job is preempted
	preemptWait       = 20 * time.Millisecond // minimum wait of a short job before others are preempted
)

// preemptForQueues preempts long-running jobs for waiting short jobs.
func (s *Scheduler) preemptForQueues(now time.Time, decisions []Decision) []Decision {
	if !s.policy.MakeRoom {
		return decisions
	}
	missing := -s.pendingFree.Slots
	for _, q := range s.sortedQueues {
		head := q.head()
		if head == nil || q.key.straggler || q.shape.Workers > 1 {
			continue
		}
		if now.Sub(head.Enqueued) < preemptWait || s.overQuota(head) {
			s.wakeAt(head.Enqueued.Add(preemptWait), now)
			continue
		}
		missing += q.jobs.Len() * q.shape.Demand.Slots
		limit := preemptRatio * s.ExpectedRunTime(q.key.service)
		for missing > 0 {
			v := s.selectVictim(q, limit, now)
			if v == nil {
				break
			}
			missing -= s.totalDemand(v).Slots
			decisions = append(decisions, s.preempt(v, "makes_room"))
		}
	}
	return decisions
}

// preempt marks a placed job as stopping and returns the decision to preempt it.
func (s *Scheduler) preempt(v *Job, reason string) Decision {
	v.stopping = true
	s.pendingFree = s.pendingFree.Add(s.totalDemand(v))
	return Decision{Kind: Preempt, Job: v.ID, Attempt: v.Attempt, Workers: workerNames(v.Workers), Reason: reason}
}

// selectVictim returns the job to preempt for a queue: one whose remaining time is
// at least limit, the smallest first, then the one that has run the longest. It
// returns nil if there is none.
func (s *Scheduler) selectVictim(waitingQueue *queue, limit time.Duration, now time.Time) *Job {
	var best *Job
	for _, q := range s.sortedQueues {
		if q.class < waitingQueue.class {
			continue
		}
		for e := q.running.Front(); e != nil; e = e.Next() {
			v := e.Value.(*Job)
			if s.remainingTime(v, now) < limit {
				if q.class <= waitingQueue.class && !q.key.straggler {
					break // within the same class, only the longest-running jobs of a queue are preempted
				}
				continue
			}
			if s.preemptible(v, now) && (best == nil || s.jobSlots(v) < s.jobSlots(best)) {
				best = v
			}
			if best != nil && s.jobSlots(best) == s.slotsPerJob(q) {
				break
			}
		}
	}
	return best
}

func (s *Scheduler) jobSlots(j *Job) int { return s.totalDemand(j).Slots }

func (s *Scheduler) slotsPerJob(q *queue) int { return q.shape.Demand.Slots * q.shape.Workers }

// remainingTime estimates how long a placed job will still run. A job that has run
// for longer than expected is assumed to run for as long again.
func (s *Scheduler) remainingTime(j *Job, now time.Time) time.Duration {
	attained := j.attained + now.Sub(j.started)
	expected := s.ExpectedRunTime(j.Service)
	if attained < expected {
		return expected - attained
	}
	return attained
}

// preemptible reports whether a placed job can be preempted for a short job: it
// must be movable and run on borrowed resources.
func (s *Scheduler) preemptible(j *Job, now time.Time) bool {
	return j.Home == "" && s.movable(j, now)
}

// movable reports whether a placed job can be stopped and continued elsewhere: it
// must be repeatable and have run for minPreemptRunTime.
func (s *Scheduler) movable(j *Job, now time.Time) bool {
	return j.Repeatable && !j.stopping && now.Sub(j.started) >= minPreemptRunTime
}

func workerNames(workers []*Worker) []string {
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.Name
	}
	return names
}

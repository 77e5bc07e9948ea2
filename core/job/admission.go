package job

import (
	"math"
	"time"

	"bramleythread/io/wire"
)

// runTimeSigma is the standard deviation of the logarithm of a run time around its
// forecast. The run times of a queue vary by 0.3 to 0.5.
const runTimeSigma = 0.5

// AdmissionForecast returns the earliest time at which a job that is not submitted yet
// could start, and whether it is worth holding: whether it could then end before it
// loses all value. It addresses a surge that wants far more than the fleet has: a job
// that is held without a chance costs its caller the time to ask elsewhere.
//
// The forecast is optimistic, so that nothing is refused that could be served: the work
// ahead is packed without gaps, the job itself takes a run time that few fall below,
// and a job is worth holding if nothing is known about its workers. Urgent work within
// its customer's guarantee always is.
func (e *Engine) AdmissionForecast(row wire.Job, now time.Time) (servedAt time.Time, worthwhile bool) {
	j := newJob(row, now)
	if len(j.Steps) == 0 || j.RepeatCount > 0 {
		return now, true
	}
	s := newStage(j, stageKey{}, now)
	guaranteed := j.Priority == 0 && e.urgentAccelerators(j.Customer)+j.accelerators() <= e.guaranteed[j.Customer]
	if s.step.LongRunning || guaranteed {
		return now, true
	}
	room := e.earliestRoom(s, s.step.Count, now)
	if room == nil {
		return now, true // its workers may have failed, or may not have reported yet
	}
	servedAt = room.startAt
	if j.Priority == 0 {
		servedAt = now // may stop other work
	}
	if backlog := now.Add(e.backlog(s, now)); backlog.After(servedAt) {
		servedAt = backlog
	}
	shortest := float64(e.expectedRunTime(s)) * math.Exp(-2*runTimeSigma)
	return servedAt, !servedAt.Add(time.Duration(shortest)).After(e.worthlessAt(s))
}

// backlog returns how long the fleet takes for the waiting work that precedes a stage
// if it leaves nothing idle.
func (e *Engine) backlog(s *stage, now time.Time) time.Duration {
	capacity := 0.0
	for _, w := range e.sortedWorkers {
		if e.eligibleIgnoringAdvice(w, s, now) {
			capacity += coreEquivalents(w.Capacity)
		}
	}
	own := e.rank(s, now) + e.shareDelay(s, e.shareDelays()).Seconds()
	work := 0.0
	for _, other := range e.waitingStages(now) {
		rank := e.rank(other, now) + other.shareDelay.Seconds()
		if other.job.Service != s.job.Service || other.step.LongRunning || rank >= tooLateRank {
			continue
		}
		if p := other.job.Priority; p < s.job.Priority || p == s.job.Priority && rank <= own {
			work += e.workOf(other, len(other.unplacedTasks()))
		}
	}
	if capacity == 0 {
		return 0
	}
	return time.Duration(work / capacity * float64(time.Second))
}

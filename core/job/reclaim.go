package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// holdDuration is how long room is held for a stage while preempted runs stop: the
// longest stop time of the users' workers and a few round trips.
const holdDuration = 2 * time.Second

// victim is a run that may be preempted.
type victim struct {
	r        *run
	lostWork float64 // core-seconds
}

// preemptionPlan describes which runs to stop to make room for a stage, and where
// to place its tasks afterwards.
type preemptionPlan struct {
	tasksPerWorker map[*Worker]int
	victims        []*run
	lostWork       float64 // core-seconds
}

// reclaim makes room for urgent work by stopping the lower-priority runs that lose
// the least work, and holds the room until they have stopped. Work beyond its
// customer's guarantee stops only runs that lose nothing, unless it would
// otherwise finish too late to be of value.
func (e *Engine) reclaim(s *stage, tasks []*task, now time.Time) {
	stoppable, reason := e.stoppableFor(s, now)
	best := e.cheapestPreemption(s, len(tasks), stoppable, now)
	if best != nil && !availabilityAllows(best.victims) {
		allowed := stoppable
		best = e.cheapestPreemption(s, len(tasks), func(r *run) bool { return r.task.stage.step.MaxUnavailable == 0 && allowed(r) }, now)
	}
	if best == nil || reason == "last_minute" && best.lostWork > e.workOf(s, len(tasks)) {
		return
	}
	for _, r := range best.victims {
		e.preemptRun(r, s, reason, now)
	}
	e.holdRoom(s, best.tasksPerWorker, now.Add(holdDuration))
}

// stoppableFor returns which runs the stage may preempt, and the reason. For faster
// workers it preempts only less urgent work, since others have room for it.
func (e *Engine) stoppableFor(s *stage, now time.Time) (stoppable func(*run) bool, reason string) {
	allowed := func(*run) bool { return true }
	reason = "guarantee"
	if !e.withinGuarantee(s.job) {
		allowed = func(r *run) bool { return r.task.stage.step.Checkpoints || r.startedAt.IsZero() }
		reason = "saved_only"
		if now.Add(e.expectedRunTime(s)).After(e.worthlessAt(s).Add(-finalPreemptionWindow)) {
			allowed, reason = func(*run) bool { return true }, "last_minute"
		}
	}
	if s.maxSlowness == 0 {
		return allowed, reason
	}
	return func(r *run) bool { return r.task.stage.job.Priority > s.job.Priority && allowed(r) }, reason
}

// workOf returns the work of n tasks of a stage in core-seconds. Work beyond a
// guarantee must not make others lose more than this.
func (e *Engine) workOf(s *stage, n int) float64 {
	return e.expectedRunTime(s).Seconds() * coreEquivalents(s.step.Demand) * float64(n)
}

// finalPreemptionWindow is the time before a job loses all value in which it may stop
// runs that lose work. It covers a stop, a start and the spread of run times.
const finalPreemptionWindow = 1500 * time.Millisecond

// worthlessFactor is the multiple of its objective after which a job has no value to
// the callers any more.
const worthlessFactor = 3

// objective returns the time in which the callers want the job to finish.
func (e *Engine) objective(j *Job) time.Duration {
	work := time.Duration(0)
	for _, s := range j.stageList {
		if !s.step.LongRunning {
			work = max(work, e.expectedRunTime(s))
		}
	}
	return time.Duration(j.Stretch*float64(work)*float64(len(j.Steps))) + j.Objective
}

// worthlessAt returns the time after which the stage's job has no value.
func (e *Engine) worthlessAt(s *stage) time.Time {
	return s.dueTime().Add(worthlessFactor * e.objective(s.job))
}

// dueTime returns when the stage's occurrence became due, on the monotonic clock.
func (s *stage) dueTime() time.Time {
	if first := s.job.stages[stageKey{s.key.occurrence, 0}]; s.job.RepeatCount > 0 && first != nil {
		return first.readyAt
	}
	return s.job.Accepted
}

// withinGuarantee reports whether all unfinished urgent work of the job's customer
// fits into the accelerators guaranteed to the customer.
func (e *Engine) withinGuarantee(j *Job) bool {
	return e.urgentAccelerators(j.Customer) <= e.guaranteed[j.Customer]
}

// urgentAccelerators returns the accelerators that all unfinished urgent work of a
// customer needs.
func (e *Engine) urgentAccelerators(customer string) int {
	if e.urgentNeed != nil {
		return e.urgentNeed[customer]
	}
	return e.sumUrgentNeed()[customer]
}

// sumUrgentNeed returns the accelerators that all unfinished urgent work needs, by
// customer.
func (e *Engine) sumUrgentNeed() map[string]int {
	need := make(map[string]int)
	for _, j := range e.jobList {
		if j.Priority == 0 && !j.state.Final() {
			need[j.Customer] += j.accelerators()
		}
	}
	return need
}

// accelerators returns the accelerators that all tasks of a job need together.
func (j *Job) accelerators() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count * j.Steps[i].Demand.Accelerators
	}
	return n
}

// available reports whether a run of long-running work is serving its users.
func (r *run) available() bool { return r.phase == started && r.percent >= completePercent }

// availabilityAllows reports whether all victims may be stopped together without
// leaving more tasks of a step unavailable than its MaxUnavailable allows; 0 means no
// limit. Stopping a task that is not available is always allowed.
func availabilityAllows(victims []*run) bool {
	stopped := make(map[*stage]int)
	for _, r := range victims {
		if r.task.stage.step.MaxUnavailable > 0 && r.available() {
			stopped[r.task.stage]++
		}
	}
	for s, n := range stopped {
		missing := 0
		for _, t := range s.tasks {
			if t.run == nil || !t.run.available() {
				missing++
			}
		}
		if missing+n > s.step.MaxUnavailable {
			return false
		}
	}
	return true
}

func (e *Engine) preemptRun(r *run, by *stage, reason string, now time.Time) {
	e.recordDecision(Decision{Kind: "preempt", Job: r.task.stage.job.ID, Task: r.task.id(), Run: r.number, Worker: r.worker.Node, Reason: reason + ":" + by.job.ID, Age: now.Sub(r.placedAt)})
	e.stopRunOrGang(r, "preempted")
}

// cheapestPreemption returns the plan that loses the least work, or nil.
func (e *Engine) cheapestPreemption(s *stage, n int, stoppable func(*run) bool, now time.Time) *preemptionPlan {
	var best *preemptionPlan
	for _, set := range e.workerSets(s, now) {
		if plan := e.planPreemption(s, set, n, stoppable, now); plan != nil && (best == nil || plan.lostWork < best.lostWork) {
			best = plan
		}
	}
	return best
}

// planPreemption returns which runs to stop on a set of workers to make room for n
// tasks, or nil if there cannot be enough room.
func (e *Engine) planPreemption(s *stage, set []*Worker, n int, stoppable func(*run) bool, now time.Time) *preemptionPlan {
	type option struct {
		w       *Worker
		victims []*run
		lost    float64
	}
	plan := &preemptionPlan{tasksPerWorker: make(map[*Worker]int)}
	options := make(map[*Worker]option)
	for len(plan.tasksPerWorker) <= len(set) && n > 0 {
		// Place the next task where it adds the least lost work.
		var best option
		for _, w := range set {
			d := scale(demand(s.step), plan.tasksPerWorker[w]+1)
			if s.step.MaxPerWorker > 0 && plan.tasksPerWorker[w] >= e.maxPerWorkerLeft(w, s) {
				continue
			}
			victims, lost, ok := e.chooseVictims(w, s, d, stoppable, now)
			if ok && (best.w == nil || lost-options[w].lost < best.lost-options[best.w].lost) {
				best = option{w: w, victims: victims, lost: lost}
			}
		}
		if best.w == nil {
			return nil
		}
		options[best.w] = best
		plan.tasksPerWorker[best.w]++
		n--
	}
	for _, w := range set {
		plan.victims = append(plan.victims, options[w].victims...)
		plan.lostWork += options[w].lost
	}
	return plan
}

// borrowedLossWeight multiplies the lost work of urgent runs beyond their customer's
// guarantee. They may be preempted for the guarantees of others, but last, since
// the users value urgent work up to four times as high.
const borrowedLossWeight = 4

// chooseVictims returns the runs to stop on a worker to free the resources d, the
// lost work in core-seconds, and whether that suffices.
func (e *Engine) chooseVictims(w *Worker, s *stage, d wire.Resources, stoppable func(*run) bool, now time.Time) ([]*run, float64, bool) {
	free := e.freeFor(w, s, now)
	var victims []victim
	for _, r := range w.runs {
		if r.phase == stopping {
			free = add(free, demand(r.task.stage.step)) // stops soon
			continue
		}
		lost := e.lostWork(r, now)
		switch j := r.task.stage.job; {
		case !stoppable(r) || !availabilityAllows([]*run{r}):
			continue
		case j.Priority > s.job.Priority:
		case j.Customer != s.job.Customer && e.withinGuarantee(s.job) && !e.withinGuarantee(j):
			lost *= borrowedLossWeight
		default:
			continue
		}
		victims = append(victims, victim{r: r, lostWork: lost})
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), compareRuns(a.r, b.r))
	})
	var chosen []*run
	var lost float64
	for _, v := range victims {
		if fitCount(free, d) > 0 {
			break
		}
		free = add(free, demand(v.r.task.stage.step))
		chosen, lost = append(chosen, v.r), lost+v.lostWork
	}
	return chosen, lost, fitCount(free, d) > 0
}

// restartLossSeconds is the work lost by any restart, in seconds: restoring a
// checkpoint and scheduling the task again.
const restartLossSeconds = 0.5

// lostWork returns the work in core-seconds that is lost if a run is stopped. For a
// gang, it is the work of all members.
func (e *Engine) lostWork(r *run, now time.Time) float64 {
	s := r.task.stage
	if r.startedAt.IsZero() {
		return restartLossSeconds
	}
	since := r.startedAt
	if s.step.Checkpoints {
		since = now // stopping saves a checkpoint
	}
	seconds := now.Sub(since).Seconds() + restartLossSeconds
	n := 1
	if s.step.Gang {
		n = s.step.Count
	}
	return seconds * coreEquivalents(s.step.Demand) * float64(n)
}

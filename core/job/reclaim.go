package job

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// holdTime is how long room is held for a stage whose way is being cleared:
// the longest stop of the users' workers and a few round trips.
const holdTime = 2 * time.Second

// victim is a run that may be stopped for more urgent work, with the work in
// core-seconds that is lost by it.
type victim struct {
	r    *run
	lost float64
}

// clearing is a way to make room: the workers to use, and what to stop there.
type clearing struct {
	use     map[*Worker]int
	victims []*run
	lost    float64
}

// reclaim makes room for urgent work by stopping the runs of lower priority
// that lose the least. The room is held until they are gone. Work beyond its
// customer's guarantee stops only what loses nothing, until it would come too
// late to be worth anything.
func (e *Engine) reclaim(s *stage, tasks []*task, now time.Time) {
	saved := func(r *run) bool { return r.task.stage.step.Checkpoints || r.began.IsZero() }
	stoppable := func(*run) bool { return true }
	reason := "guarantee"
	if !e.guarantee(s.job) {
		stoppable, reason = saved, "saved_only"
		if now.Add(e.runTime(s)).After(e.worthless(s).Add(-lastMinute)) {
			stoppable, reason = func(*run) bool { return true }, "last_minute"
		}
	}
	best := e.cheapest(s, len(tasks), stoppable, now)
	if best != nil && !mayMiss(best.victims) {
		replaceable := stoppable
		best = e.cheapest(s, len(tasks), func(r *run) bool { return r.task.stage.step.MaxUnavailable == 0 && replaceable(r) }, now)
	}
	if best == nil || reason == "last_minute" && best.lost > e.ownWork(s, len(tasks)) {
		return
	}
	for _, r := range best.victims {
		e.preempt(r, s, reason, now)
	}
	e.hold(s, best.use, now.Add(holdTime))
}

// ownWork returns the core-seconds that n tasks of a stage take. Work beyond a
// guarantee must not cost more than it does.
func (e *Engine) ownWork(s *stage, n int) float64 {
	return e.runTime(s).Seconds() * cores(s.step.Demand) * float64(n)
}

// lastMinute is the time before a job is worth nothing at which it may stop work
// that loses by it: a stop, a start and the spread of run times.
const lastMinute = 1500 * time.Millisecond

// lateLimit is how many times its objective a job may take and still be worth
// something to the callers.
const lateLimit = 3

// objective returns how long the callers allow for the job.
func (e *Engine) objective(j *Job) time.Duration {
	work := time.Duration(0)
	for _, s := range j.order {
		if !s.step.LongRunning {
			work = max(work, e.runTime(s))
		}
	}
	return time.Duration(j.Stretch*float64(work)*float64(len(j.Steps))) + j.Objective
}

// worthless returns when the stage's job is worth nothing any more.
func (e *Engine) worthless(s *stage) time.Time {
	return s.due().Add(lateLimit * e.objective(s.job))
}

// due returns when the stage's occurrence was due, on the steady clock.
func (s *stage) due() time.Time {
	if first := s.job.stages[stageKey{s.key.occurrence, 0}]; s.job.RepeatCount > 0 && first != nil {
		return first.ready
	}
	return s.job.Accepted
}

// guarantee reports whether all urgent work of the job's customer that has not
// ended is within the customer's guarantee.
func (e *Engine) guarantee(j *Job) bool {
	need := 0
	for _, other := range e.list {
		if other.Priority != 0 || other.Customer != j.Customer || other.state.Final() {
			continue
		}
		for i := range other.Steps {
			need += other.Steps[i].Count * other.Steps[i].Demand.Accelerators
		}
	}
	return need <= e.guaranteed[j.Customer]
}

// atWork reports whether a run of long-running work is available to its users.
func (r *run) atWork() bool { return r.phase == started && r.percent >= allPercent }

// mayMiss reports whether all of the victims may be stopped together: no step
// loses more of its available tasks to us than its callers allow.
func mayMiss(victims []*run) bool {
	stopped := make(map[*stage]int)
	for _, r := range victims {
		if r.task.stage.step.MaxUnavailable > 0 && r.atWork() {
			stopped[r.task.stage]++
		}
	}
	for s, n := range stopped {
		missing := 0
		for _, t := range s.tasks {
			if t.run == nil || !t.run.atWork() {
				missing++
			}
		}
		if missing+n > s.step.MaxUnavailable {
			return false
		}
	}
	return true
}

func (e *Engine) preempt(r *run, by *stage, reason string, now time.Time) {
	e.decide(Decision{Kind: "preempt", Job: r.task.stage.job.ID, Task: r.task.id(), Run: r.number, Worker: r.worker.Node, Reason: reason + ":" + by.job.ID, Age: now.Sub(r.placed)})
	e.stopWhole(r, "preempted")
}

// cheapest returns the clearing that loses the least work, or nil.
func (e *Engine) cheapest(s *stage, n int, stoppable func(*run) bool, now time.Time) *clearing {
	var best *clearing
	for _, set := range e.workerSets(s, now) {
		if c := e.clear(s, set, n, stoppable, now); c != nil && (best == nil || c.lost < best.lost) {
			best = c
		}
	}
	return best
}

// clear returns what to stop on a set of workers to make room for n tasks, or
// nil if that is not enough.
func (e *Engine) clear(s *stage, set []*Worker, n int, stoppable func(*run) bool, now time.Time) *clearing {
	type option struct {
		w       *Worker
		victims []*run
		lost    float64
	}
	c := &clearing{use: make(map[*Worker]int)}
	options := make(map[*Worker]option)
	for len(c.use) <= len(set) && n > 0 {
		// The next task goes where it costs least.
		var best option
		for _, w := range set {
			d := times(demand(s.step), c.use[w]+1)
			if s.step.MaxPerWorker > 0 && c.use[w] >= e.spreadLeft(w, s) {
				continue
			}
			victims, lost, ok := e.evict(w, s, d, stoppable, now)
			if ok && (best.w == nil || lost-options[w].lost < best.lost-options[best.w].lost) {
				best = option{w: w, victims: victims, lost: lost}
			}
		}
		if best.w == nil {
			return nil
		}
		options[best.w] = best
		c.use[best.w]++
		n--
	}
	for _, w := range set {
		c.victims = append(c.victims, options[w].victims...)
		c.lost += options[w].lost
	}
	return c
}

// borrowedWeight is how much more the loss of urgent work counts, beyond its
// customer's guarantee, than that of other work: it is stopped for others'
// guarantees too, but last. The users value urgent work up to four times as high.
const borrowedWeight = 4

// evict returns the runs to stop on a worker so that it has room for d.
func (e *Engine) evict(w *Worker, s *stage, d wire.Resources, stoppable func(*run) bool, now time.Time) ([]*run, float64, bool) {
	free := e.free(w, s, now)
	var victims []victim
	for _, r := range w.runs {
		if r.phase == stopping {
			free = add(free, demand(r.task.stage.step)) // gone soon
			continue
		}
		lost := e.lost(r, now)
		switch j := r.task.stage.job; {
		case !stoppable(r) || !mayMiss([]*run{r}):
			continue
		case j.Priority > s.job.Priority:
		case j.Customer != s.job.Customer && e.guarantee(s.job) && !e.guarantee(j):
			lost *= borrowedWeight
		default:
			continue
		}
		victims = append(victims, victim{r: r, lost: lost})
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.r.task.id().Job, b.r.task.id().Job), cmp.Compare(a.r.task.index, b.r.task.index))
	})
	var chosen []*run
	var lost float64
	for _, v := range victims {
		if fits(free, d) > 0 {
			break
		}
		free = add(free, demand(v.r.task.stage.step))
		chosen, lost = append(chosen, v.r), lost+v.lost
	}
	return chosen, lost, fits(free, d) > 0
}

// restartLoss is the work in seconds that any restart costs: a checkpoint's
// restore and the way through the table.
const restartLoss = 0.5

// lost returns the core-seconds that are lost if a run is stopped. The members
// of a gang are lost together.
func (e *Engine) lost(r *run, now time.Time) float64 {
	s := r.task.stage
	if r.began.IsZero() {
		return restartLoss
	}
	since := r.began
	if s.step.Checkpoints {
		since = now // a stop saves
	}
	seconds := now.Sub(since).Seconds() + restartLoss
	n := 1
	if s.step.Gang {
		n = s.step.Count
	}
	return seconds * cores(s.step.Demand) * float64(n)
}

package job

import (
	"fmt"
	"time"

	"bramleythread/io/wire"
)

// maxDecisions bounds the decisions kept for one job.
const maxDecisions = 40

// keepDecision adds a decision to its job, if the job is known, and drops the oldest
// one if there are too many.
func (e *Engine) keepDecision(d Decision) {
	j, ok := e.jobs[d.Job]
	if !ok {
		return
	}
	if len(j.decisions) == maxDecisions {
		copy(j.decisions, j.decisions[1:])
		j.decisions = j.decisions[:maxDecisions-1]
	}
	j.decisions = append(j.decisions, d)
}

// String formats a decision as one line.
func (d Decision) String() string {
	s := fmt.Sprintf("%8.3fs %s", d.Age.Seconds(), d.Kind)
	if d.Run > 0 {
		s += fmt.Sprintf(" occurrence=%d step=%d index=%d run=%d", d.Task.Occurrence, d.Task.Step, d.Task.Index, d.Run)
	}
	if d.Worker != "" {
		s += " worker=" + d.Worker
	}
	s += " reason=" + d.Reason
	if d.Expected.Median > 0 {
		s += fmt.Sprintf(" expected=%.3fs sigma=%.2f", d.Expected.Median.Seconds(), d.Expected.Sigma)
	}
	if d.Took > 0 {
		s += fmt.Sprintf(" took=%.3fs", d.Took.Seconds())
	}
	return s
}

// Explain returns the progress of a job, why its stages wait and its latest decisions.
func (e *Engine) Explain(id string, now time.Time) *wire.ExplainAnswer {
	j, ok := e.jobs[id]
	if !ok {
		return &wire.ExplainAnswer{}
	}
	a := &wire.ExplainAnswer{
		Known: true, State: j.durableState, Queue: j.Queue, Customer: j.Customer, Age: now.Sub(j.Accepted),
	}
	for _, s := range j.stageList {
		a.Stages = append(a.Stages, wire.StageSummary{
			Occurrence: s.key.occurrence, Step: s.key.step, Tasks: len(s.tasks), Done: len(s.tasks) - s.tasksLeft, Running: s.activeRuns, Waits: s.waitReason,
		})
	}
	for _, s := range j.stageList {
		for _, t := range s.tasks {
			if t.run != nil && len(a.Runs) < maxExplainedRuns {
				a.Runs = append(a.Runs, e.summarize(t.run, now))
			}
		}
	}
	for _, d := range j.decisions {
		a.Decisions = append(a.Decisions, d.String())
	}
	return a
}

// maxExplainedRuns bounds the runs of one answer. A step can have 10,000 tasks.
const maxExplainedRuns = 100

func (e *Engine) summarize(r *run, now time.Time) wire.RunSummary {
	id := r.task.id()
	x := wire.RunSummary{
		Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Run: r.number, Worker: r.worker.Node,
		Percent: r.percent, Expected: r.placedFor.Median, Sigma: r.placedFor.Sigma,
	}
	if !r.startedAt.IsZero() {
		x.Elapsed = now.Sub(r.startedAt)
	}
	if !r.task.stage.step.LongRunning {
		x.Remaining = e.expectedRemaining(r, now)
	}
	return x
}

// Status returns the state of the workers and the numbers of unfinished jobs and
// waiting stages.
func (e *Engine) Status(now time.Time) *wire.StatusAnswer {
	a := &wire.StatusAnswer{Waiting: len(e.waitingStages(now))}
	for _, j := range e.jobList {
		if !j.state.Final() {
			a.Jobs++
		}
	}
	a.EvacuationRead, a.EvacuationAge, a.EvacuatedZones = e.evacuationStatus(now)
	for _, w := range e.sortedWorkers {
		slowness := e.speeds.Slowness(w.speedKey())
		a.Workers = append(a.Workers, wire.WorkerStatus{
			Node: w.Node, Instance: w.Instance, Service: w.Service, Zone: w.Zone, Rack: w.Rack, State: w.State,
			Heard: now.Sub(w.lastReport), Capacity: w.Capacity, Used: w.used, Runs: len(w.runs), Ejected: max(w.health.ejectedUntil.Sub(now), 0),
			SlownessLog: slowness.Log, SlownessSigma: slowness.Sigma,
		})
	}
	return a
}

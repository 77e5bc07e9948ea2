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
	return s + " reason=" + d.Reason
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
	for _, d := range j.decisions {
		a.Decisions = append(a.Decisions, d.String())
	}
	return a
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
		a.Workers = append(a.Workers, wire.WorkerStatus{
			Node: w.Node, Instance: w.Instance, Service: w.Service, Zone: w.Zone, Rack: w.Rack, State: w.State,
			Heard: now.Sub(w.lastReport), Capacity: w.Capacity, Used: w.used, Runs: len(w.runs), Ejected: max(w.health.ejectedUntil.Sub(now), 0),
		})
	}
	return a
}

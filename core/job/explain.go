package job

import (
	"fmt"
	"time"

	"bramleythread/io/wire"
)

// maxDecisions bounds the decisions that are kept of one job.
const maxDecisions = 40

// keepDecision keeps a decision on a job that is known.
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

// String describes a decision in one line.
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

// Explain tells how far a job has come.
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

// Status tells what is known of the pool.
func (e *Engine) Status(now time.Time) *wire.StatusAnswer {
	a := &wire.StatusAnswer{Waiting: len(e.waitingStages(now))}
	for _, j := range e.jobList {
		if !j.state.Final() {
			a.Jobs++
		}
	}
	for _, w := range e.sortedWorkers {
		a.Workers = append(a.Workers, wire.WorkerStatus{
			Node: w.Node, Instance: w.Instance, Service: w.Service, Zone: w.Zone, Rack: w.Rack, State: w.State,
			Heard: now.Sub(w.lastReport), Capacity: w.Capacity, Used: w.used, Runs: len(w.runs), Ejected: max(w.health.ejectedUntil.Sub(now), 0),
		})
	}
	return a
}

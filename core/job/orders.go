package job

import (
	"cmp"
	"maps"
	"slices"

	"bramleythread/io/wire"
)

// TakeChangedNodes returns the nodes of the workers whose orders have changed since
// the last call.
func (e *Engine) TakeChangedNodes() []string {
	var nodes []string
	for _, w := range e.sortedWorkers {
		if w.dirty && w.reported {
			w.dirty = false
			nodes = append(nodes, w.Node)
		}
	}
	return nodes
}

// maxStartsSize limits the starts in one message. On a slow link, what follows must not
// wait until the permission to start has expired.
const maxStartsSize = 64 << 10 // bytes

// Orders returns all current orders for the agent of a node: to start the durable
// runs that its worker does not list yet, to stop the runs that must end, and to
// pace the background runs beside those with a latency target.
func (e *Engine) Orders(node string) (wire.WorkerOrders, bool) {
	w, ok := e.workers[node]
	if !ok || !w.reported {
		return wire.WorkerOrders{}, false
	}
	o := wire.WorkerOrders{Instance: w.Instance, Born: w.Born, AckedEnds: w.ackedEnd, Slowness: e.slownessOf(w)}
	var starts []*run
	for _, r := range w.sortedRuns() {
		id := r.task.id()
		if step := r.task.stage.step; (step.TargetLatency > 0 || step.UsesSpareCPU) && r.phase != stopping {
			o.Shared = append(o.Shared, wire.SharedTask{Task: id, Run: r.number, TargetLatency: step.TargetLatency, UsesSpareCPU: step.UsesSpareCPU})
		}
		switch {
		case r.phase == stopping && r.durable():
			o.Stops = append(o.Stops, wire.TaskRun{Task: id, Run: r.number})
		case r.phase == ordered && r.durable() && e.maySendStarts(w):
			starts = append(starts, r)
		}
	}
	e.addStarts(&o, w, starts)
	for _, stray := range slices.SortedFunc(maps.Keys(w.unexpectedRuns), func(a, b wire.TaskRun) int {
		return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	}) {
		if r := w.runs[stray.Task]; r == nil || r.number != stray.Run {
			o.Stops = append(o.Stops, stray)
		}
	}
	return o, true
}

// addStarts adds starts to orders. If they are too large for one message, those that the
// agent has yet to take come first, and those beyond the limit are only listed. So are
// those of an earlier scheduler that may have ended already.
func (e *Engine) addStarts(o *wire.WorkerOrders, w *Worker, runs []*run) {
	starts, total := make([]wire.StartTask, len(runs)), 0
	for i, r := range runs {
		starts[i] = wire.StartTask{Task: r.task.id(), Run: r.number, Spec: r.task.stage.job.Spec, Checkpoint: r.task.checkpoint, Ticket: r.task.stage.ticket(w)}
		total += starts[i].Msgsize()
	}
	limit := cmp.Or(e.cfg.MaxStartsSize, maxStartsSize)
	size := 0
	for i, r := range runs {
		n := starts[i].Msgsize()
		mayHaveEnded := r.restored && !r.startOrdered && w.moreEnds
		if mayHaveEnded || total > limit && (r.startTaken || size > 0 && size+n > limit) {
			o.OtherStarts = append(o.OtherStarts, wire.TaskRun{Task: starts[i].Task, Run: r.number})
			continue
		}
		size += n
		r.startOrdered = true
		o.Starts = append(o.Starts, starts[i])
	}
}

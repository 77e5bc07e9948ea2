package entry

import (
	"context"
	"time"

	"bramleythread/io/wire"
)

// checkpointTime is the part of the grace that is kept for the checkpoint
// itself; work that has just begun may use the rest to end by itself.
const checkpointTime = time.Second

// preempt takes the resources of a work that the table has marked as stopping.
// Work that has not started is queued again by its entry. The caller holds mu.
func (a *Agent) preempt(w *work) {
	a.cfg.Metrics.preempted.Inc()
	a.cfg.Log.Info().
		Str("request", w.id.Request).
		Int("attempt", w.id.Attempt).
		Str("customer", w.run.Customer).
		Str("worker", a.cfg.Name).
		Bool("gang", w.member).
		Msg("preempting")
	if w.member {
		a.goPreemptMember(w)
		return
	}
	w.stop(wire.ReasonPreempted)
	if w.hasStarted() {
		a.goCheckpoint(w)
	}
}

func (a *Agent) goCheckpoint(w *work) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.checkpoint(w)
	}()
}

// checkpoint stops started work within its grace: it lets young work end,
// then asks for a checkpoint, and at last stops the task.
func (a *Agent) checkpoint(w *work) {
	grace := w.run.Grace
	end := time.Now().Add(grace)
	if w.attained(time.Now()) < grace && a.finishedWithin(w, grace-checkpointTime) {
		return
	}
	ctx, cancel := context.WithDeadline(a.ctx, end)
	defer cancel()
	// Without a checkpoint the task may still end by itself within the grace.
	_ = a.tasks().Checkpoint(ctx, a.taskID(w))
	if !a.finishedWithin(w, time.Until(end)) {
		a.stopTask(w)
	}
}

// finishedWithin waits for the end of a work.
func (a *Agent) finishedWithin(w *work, limit time.Duration) bool {
	t := time.NewTimer(max(limit, 0))
	defer t.Stop()
	select {
	case <-w.finished:
		return true
	case <-a.ctx.Done():
		return true
	case <-t.C:
		return false
	}
}

package entry

import (
	"context"
	"time"

	"bramleythread/io/wire"
)

// checkpointReserve is the part of the grace period that is reserved for writing
// the checkpoint. A task that has run for less than its grace period may use the
// rest to finish.
const checkpointReserve = time.Second

// preempt stops an attempt that the table has marked as stopping. If it has not
// started, its entry queues the request again. The caller holds mu.
func (a *Agent) preempt(att *attempt) {
	a.cfg.Metrics.preempted.Inc()
	a.cfg.Log.Info().
		Str("request", att.id.Request).
		Int("attempt", att.id.Attempt).
		Str("customer", att.run.Customer).
		Str("worker", a.cfg.Name).
		Bool("gang", att.member).
		Msg("preempting")
	if att.member {
		a.preemptMember(att)
		return
	}
	att.requestStop(wire.ReasonPreempted)
	if att.hasStarted() {
		a.checkpointAsync(att)
	}
}

func (a *Agent) checkpointAsync(att *attempt) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.checkpointAndStop(att)
	}()
}

// checkpointAndStop stops a started task within its grace period. A task that has
// run for less than that may finish first. Then the task is asked for a
// checkpoint and, if it still runs at the end of the period, stopped.
func (a *Agent) checkpointAndStop(att *attempt) {
	grace := att.run.Grace
	end := time.Now().Add(grace)
	if att.runTime(time.Now()) < grace && a.finishedWithin(att, grace-checkpointReserve) {
		return
	}
	ctx, cancel := context.WithDeadline(a.ctx, end)
	defer cancel()
	// If the checkpoint fails, the task may still finish within the grace period.
	_ = a.upstreamTasks().Checkpoint(ctx, a.taskID(att))
	if !a.finishedWithin(att, time.Until(end)) {
		a.stopTask(att)
	}
}

// finishedWithin waits until the attempt has finished or the agent ends. It
// returns false if the limit passes first.
func (a *Agent) finishedWithin(att *attempt, limit time.Duration) bool {
	t := time.NewTimer(max(limit, 0))
	defer t.Stop()
	select {
	case <-att.finished:
		return true
	case <-a.ctx.Done():
		return true
	case <-t.C:
		return false
	}
}

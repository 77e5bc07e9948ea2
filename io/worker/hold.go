package worker

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// holdLoop renews the worker's lease and applies the worker's lists of running
// and ended runs.
func (a *Agent) holdLoop(ctx context.Context) {
	defer a.wg.Done()
	for ctx.Err() == nil {
		a.mu.Lock()
		idle := a.info.Instance == "" || a.info.State == wire.WorkerGone || a.orders.Token == 0
		a.mu.Unlock()
		if idle {
			a.pause(ctx, holdWait, a.pollRequests, nil)
			continue
		}
		a.hold(ctx)
	}
}

// pause waits for a duration, or until one of two channels is ready.
func (a *Agent) pause(ctx context.Context, d time.Duration, wake, other <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	case <-other:
	}
}

// hold makes one hold call. The worker answers it at once, rather than wait for
// a run to end, while ends are unacknowledged, a poll is needed, or the last call
// has failed. After a failure the worker may have started again under its id, so
// the call acknowledges nothing until an answer has shown the lifetime.
func (a *Agent) hold(ctx context.Context) {
	a.mu.Lock()
	now := time.Now()
	lifetime := a.lifetime
	o := HoldRequest{
		Instance: a.info.Instance, Token: a.token(), LeaseEnd: a.leaseEnd(now),
		Acked: a.acked(), Wait: holdWait,
	}
	if a.sharesWorker() {
		o.Wait = paceInterval
	}
	unacked := len(a.ended) > 0 && a.ended[len(a.ended)-1].Number > o.Acked
	if !a.polled || a.awaitsPoll() || a.lastHoldFailed {
		o.Wait = 0
	}
	a.mu.Unlock()
	switch {
	case a.lastHoldFailed:
		o.Acked = 0
	case unacked:
		a.pause(ctx, ackWait, a.ackSignal, a.pollRequests)
		a.mu.Lock()
		o.Acked, o.Token, o.Wait = a.acked(), a.token(), 0
		if lifetime != a.lifetime || o.Instance != a.info.Instance {
			o.Acked = 0
		}
		a.mu.Unlock()
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+callMargin)
	stop := a.interruptHold(callCtx, o.Wait > 0)
	reply, err := a.cfg.Worker.Hold(callCtx, o)
	stop()
	cancel()
	if err != nil {
		a.holdFailed(ctx, err, sent, lifetime)
		return
	}
	a.downCalls, a.lastHoldFailed = 0, false
	a.applyReply(reply, o, sent, lifetime)
}

// acked returns the number of the latest acknowledged end of the worker's
// current lifetime. Numbers start over in each lifetime.
func (a *Agent) acked() int {
	if a.orders.Instance != a.info.Instance || a.orders.Born != a.info.Born {
		return 0
	}
	return a.orders.AckedEnds
}

// awaitsPoll reports whether an acknowledged stop needs a poll of the worker
// to be resolved.
func (a *Agent) awaitsPoll() bool {
	for r, p := range a.pending {
		if _, present := a.running[r]; p.stopAcked && !present {
			return true
		}
	}
	return false
}

// interruptHold makes a second call that does not wait if a poll is requested
// while the first call waits at the worker. The returned function must be
// called when the first call has returned.
func (a *Agent) interruptHold(ctx context.Context, waits bool) func() {
	if !waits {
		return func() {}
	}
	returned := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-returned:
		case <-ctx.Done():
		case <-a.pollRequests:
			a.pollNow(ctx)
		}
	}()
	return func() {
		close(returned)
		<-done
	}
}

// pollNow makes a hold call that does not wait.
func (a *Agent) pollNow(ctx context.Context) {
	a.mu.Lock()
	lifetime := a.lifetime
	o := HoldRequest{Instance: a.info.Instance, Token: a.token(), LeaseEnd: a.leaseEnd(time.Now()), Acked: a.acked()}
	a.mu.Unlock()
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.cfg.Worker.Hold(callCtx, o)
	if err != nil {
		a.cfg.Log.Debug().Err(err).Msg("look_failed")
		return
	}
	a.applyReply(reply, o, sent, lifetime)
}

func (a *Agent) holdFailed(ctx context.Context, err error, sent time.Time, lifetime uint64) {
	var refused *RefusedError
	var down *DownError
	a.lastHoldFailed = true
	if errors.As(err, &down) {
		a.workerDown(sent, lifetime)
	} else {
		a.downCalls = 0
	}
	if errors.As(err, &refused) {
		a.cfg.Log.Debug().Str("reason", refused.Reason).Msg("hold_refused")
	} else {
		a.cfg.Log.Debug().Err(err).Msg("hold_unanswered")
	}
	a.pause(ctx, retryDelay, nil, nil)
}

// maxDownCalls is the number of consecutive calls that find no process at the
// worker's address after which the worker counts as crashed.
const maxDownCalls = 3

// workerDown counts a call that found no worker process, and reports the worker as
// gone after maxDownCalls of them. All start calls must have returned before the
// latest of them was sent: one in progress may reach the worker's next lifetime,
// while the scheduler starts the task elsewhere.
func (a *Agent) workerDown(sent time.Time, lifetime uint64) {
	if a.downCalls++; a.downCalls < maxDownCalls {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lifetime != lifetime || a.info.State == wire.WorkerGone || a.startCalls > 0 || a.startReturnedAt.After(sent) {
		return
	}
	a.info.State = wire.WorkerGone
	a.cfg.Log.Warn().Str("instance", a.info.Instance).Int("calls", a.downCalls).Msg("worker_down")
	a.report()
}

// applyReply applies the response to a hold call. Responses may arrive out of
// order.
func (a *Agent) applyReply(reply HoldReply, o HoldRequest, sent time.Time, lifetime uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lifetime != a.lifetime || !sent.After(a.polledAt) {
		return
	}
	if reply.Born != 0 && a.info.Born != 0 && reply.Born != a.info.Born {
		a.adoptUnannounced(reply)
		return
	}
	a.polledAt = sent
	a.setClock(reply.Clock, time.Now())
	changed := !a.polled
	a.ended, a.moreEnds = mergeEnds(a.ended, reply.Ended, o.Acked), reply.MoreEnds
	running := a.mergeRunning(reply.Running, sent)
	for r, t := range running {
		changed = changed || a.running[r] != t
	}
	changed = changed || len(a.running) != len(running) || len(reply.Ended) > 0
	a.running = running
	a.polled = a.polled || a.ordered && o.Token == a.token()
	a.resolveStops(sent)
	a.applyOrders()
	a.updatePaces(sent)
	if changed {
		a.report()
	}
}

// mergeRunning returns the runs that the worker lists and those started after
// the request was sent.
func (a *Agent) mergeRunning(listed []wire.RunningTask, sent time.Time) map[wire.TaskRun]wire.RunningTask {
	running := make(map[wire.TaskRun]wire.RunningTask, len(listed))
	for _, t := range listed {
		running[wire.TaskRun{Task: t.Task, Run: t.Run}] = t
	}
	for r, t := range a.unlistedStarts {
		if !t.After(sent) {
			delete(a.unlistedStarts, r)
		} else if _, present := running[r]; !present && !a.hasEnded(r) {
			running[r] = a.running[r]
		}
	}
	return running
}

// mergeEnds adds the ends that a worker lists and drops the acknowledged ones.
func mergeEnds(known, listed []wire.EndedRun, acked int) []wire.EndedRun {
	byNumber := make(map[int]wire.EndedRun)
	for _, e := range append(known, listed...) {
		if e.Number > acked {
			byNumber[e.Number] = e
		}
	}
	merged := make([]wire.EndedRun, 0, len(byNumber))
	for _, e := range byNumber {
		merged = append(merged, e)
	}
	slices.SortFunc(merged, func(a, b wire.EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	return merged
}

// report requests an immediate report to the scheduler. Changes while one is being sent
// go into the next one together.
func (a *Agent) report() { a.signal(a.reportNeeded) }

// reportLoop sends a report whenever one is requested, and at least once per interval.
func (a *Agent) reportLoop(ctx context.Context) {
	defer a.wg.Done()
	for ctx.Err() == nil {
		a.pause(ctx, reportInterval, a.reportNeeded, nil)
		c, m := a.nextReport()
		if m == nil {
			continue
		}
		if err := c.Send(m); err != nil {
			a.cfg.Log.Debug().Err(err).Msg("report_not_sent")
		}
	}
}

// nextReport returns the state of the worker and the connection on which it is to be
// sent. It returns nil before the worker has been polled with the token of this
// connection, so that a run that is not listed is certain not to start later.
func (a *Agent) nextReport() (*frame.Conn, *wire.WorkerReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.conn.Closed() || a.info.Instance == "" || !a.polled && a.info.State != wire.WorkerGone {
		return nil, nil
	}
	a.sequence++
	m := &wire.WorkerReport{
		Sequence: a.sequence, Node: a.cfg.Node, Sent: a.cfg.BootTime(), RunningAt: a.polledAt.Sub(a.start), Worker: a.info, Ended: a.ended, MoreEnds: a.moreEnds,
		Slowness: a.slowness,
	}
	for _, t := range a.running {
		m.Running = append(m.Running, t)
	}
	for r := range a.pending {
		m.Pending = append(m.Pending, r)
	}
	for r, reason := range a.refused {
		m.Refused = append(m.Refused, wire.RefusedRun{Task: r.Task, Run: r.Run, Reason: reason})
	}
	a.cfg.Metrics.observe(len(m.Running), len(m.Ended))
	return a.conn, m
}

package worker

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// holdLoop renews the worker's lease and takes in what runs and what has ended.
func (a *Agent) holdLoop(ctx context.Context) {
	defer a.wg.Done()
	for ctx.Err() == nil {
		a.mu.Lock()
		idle := a.info.Instance == "" || a.info.State == wire.WorkerGone || a.orders.FencingToken == 0
		a.mu.Unlock()
		if idle {
			a.pause(ctx, holdWait, a.fresh, nil)
			continue
		}
		a.hold(ctx)
	}
}

// pause waits for a time, or until one of two channels has something.
func (a *Agent) pause(ctx context.Context, d time.Duration, wake, also <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	case <-also:
	}
}

// hold makes one call. While ends wait for their acknowledgement, or something
// asks for a look, it does not wait at the worker.
func (a *Agent) hold(ctx context.Context) {
	a.mu.Lock()
	now := time.Now()
	life := a.life
	o := HoldRequest{
		Instance: a.info.Instance, Token: a.token(), LeaseEnd: a.lease(now),
		Acked: a.acked(), Wait: holdWait,
	}
	if a.sharing() {
		o.Wait = paceLook
	}
	unacked := len(a.ended) > 0 && a.ended[len(a.ended)-1].Number > o.Acked
	if !a.seen || a.unsettled() || a.unanswered {
		o.Wait = 0
	}
	a.mu.Unlock()
	if unacked {
		a.pause(ctx, ackWait, a.acks, a.fresh)
		a.mu.Lock()
		o.Acked, o.Token, o.Wait = a.acked(), a.token(), 0
		if life != a.life || o.Instance != a.info.Instance {
			o.Acked = 0
		}
		a.mu.Unlock()
	}
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+callMargin)
	stop := a.cutShort(callCtx, o.Wait > 0)
	reply, err := a.cfg.Worker.Hold(callCtx, o)
	stop()
	cancel()
	if err != nil {
		a.holdFailed(ctx, err, life)
		return
	}
	a.downs, a.unanswered = 0, false
	a.take(reply, o, sent, life)
}

// acked returns the newest end of the worker's present lifetime that is durable.
// Numbers begin anew in each lifetime.
func (a *Agent) acked() int {
	if a.orders.Instance != a.info.Instance || a.orders.Born != a.info.Born {
		return 0
	}
	return a.orders.AckedEnds
}

// unsettled reports whether a stop waits for a look at the worker.
func (a *Agent) unsettled() bool {
	for r, p := range a.pending {
		if _, there := a.running[r]; p.stopped && !there {
			return true
		}
	}
	return false
}

// cutShort makes a second call without waiting when something asks for a look
// while the first one waits at the worker.
func (a *Agent) cutShort(ctx context.Context, waits bool) func() {
	if !waits {
		return func() {}
	}
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-ended:
		case <-ctx.Done():
		case <-a.fresh:
			a.lookNow(ctx)
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// lookNow makes a call that does not wait.
func (a *Agent) lookNow(ctx context.Context) {
	a.mu.Lock()
	life := a.life
	o := HoldRequest{Instance: a.info.Instance, Token: a.token(), LeaseEnd: a.lease(time.Now()), Acked: a.acked()}
	a.mu.Unlock()
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := a.cfg.Worker.Hold(callCtx, o)
	if err != nil {
		a.cfg.Log.Debug().Err(err).Msg("look_failed")
		return
	}
	a.take(reply, o, sent, life)
}

func (a *Agent) holdFailed(ctx context.Context, err error, life uint64) {
	var refused *RefusedError
	var down *DownError
	a.unanswered = true
	if errors.As(err, &down) {
		a.down(life)
	} else {
		a.downs = 0
	}
	if errors.As(err, &refused) {
		a.cfg.Log.Debug().Str("reason", refused.Reason).Msg("hold_refused")
	} else {
		a.cfg.Log.Debug().Err(err).Msg("hold_unanswered")
	}
	a.pause(ctx, retryPause, nil, nil)
}

// downLimit is the number of calls in a row that find no process at the
// worker's address, after which it is taken to have crashed.
const downLimit = 3

// down takes in that the worker's process is not there.
func (a *Agent) down(life uint64) {
	if a.downs++; a.downs < downLimit {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.life != life || a.info.State == wire.WorkerGone {
		return
	}
	a.info.State = wire.WorkerGone
	a.cfg.Log.Warn().Str("instance", a.info.Instance).Int("calls", a.downs).Msg("worker_down")
	a.report()
}

// take takes in the answer to a hold. Answers may overtake each other.
func (a *Agent) take(reply HoldReply, o HoldRequest, sent time.Time, life uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if life != a.life || reply.Born != 0 && a.info.Born != 0 && reply.Born != a.info.Born || !sent.After(a.looked) {
		return
	}
	a.looked = sent
	a.setClock(reply.Clock, time.Now())
	changed := !a.seen
	a.ended = mergeEnds(a.ended, reply.Ended, o.Acked)
	running := a.merge(reply.Running, sent)
	for r, t := range running {
		changed = changed || a.running[r] != t
	}
	changed = changed || len(a.running) != len(running) || len(reply.Ended) > 0
	a.running = running
	a.seen = a.seen || a.ordered && o.Token == a.token()
	a.settle(sent)
	a.obey()
	a.paceRuns(sent)
	if changed {
		a.report()
	}
}

// merge returns the runs that a worker lists, and those that have been started
// after it was asked.
func (a *Agent) merge(listed []wire.RunningTask, sent time.Time) map[wire.TaskRun]wire.RunningTask {
	running := make(map[wire.TaskRun]wire.RunningTask, len(listed))
	for _, t := range listed {
		running[wire.TaskRun{Task: t.Task, Run: t.Run}] = t
	}
	for r, t := range a.startedAt {
		if !t.After(sent) {
			delete(a.startedAt, r)
		} else if _, there := running[r]; !there && !a.hasEnded(r) {
			running[r] = a.running[r]
		}
	}
	return running
}

// mergeEnds adds the ends that a worker lists, and drops those that it has been
// told to forget.
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

// reportLoop reports at least once in each interval.
func (a *Agent) reportLoop(ctx context.Context) {
	defer a.wg.Done()
	for ctx.Err() == nil {
		a.pause(ctx, reportInterval, nil, nil)
		a.mu.Lock()
		a.report()
		a.mu.Unlock()
	}
}

// report sends the state of the worker to the scheduler. It says nothing before
// the worker has been looked at with the token of this connection, so that what
// it does not list is certain not to start later.
func (a *Agent) report() {
	if a.conn == nil || a.conn.Closed() || a.info.Instance == "" || !a.seen && a.info.State != wire.WorkerGone {
		return
	}
	a.sequence++
	m := &wire.WorkerReport{
		Sequence: a.sequence, Node: a.cfg.Node, Sent: time.Since(a.start) + 1, RunningAt: a.looked.Sub(a.start), Worker: a.info, Ended: a.ended,
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
	if err := a.conn.Send(m); err != nil {
		a.cfg.Log.Debug().Err(err).Msg("report_not_sent")
	}
}

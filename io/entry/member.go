package entry

import (
	"context"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/worker"
	"bramleythread/io/frame"
	"bramleythread/io/upstream"
	"bramleythread/io/wire"
)

// serveHold admits one member of a gang and reserves its resources. It never
// waits: it grants or refuses the hold at once.
func (a *Agent) serveHold(entry string, m *wire.Hold) wire.Message {
	now := time.Now()
	att := newAttempt(wire.RunRequest{
		Request:    m.Request,
		Attempt:    m.Attempt,
		Customer:   m.Customer,
		Demand:     m.Demand,
		Home:       m.Home,
		Guest:      m.Guest,
		Grace:      m.Grace,
		Repeatable: true,
		Timeout:    m.Limit,
	}, entry, now)
	att.member = true
	a.mu.Lock()
	defer a.mu.Unlock()
	admission := a.table.Admit(worker.AdmitRequest{
		ID:          att.id,
		Entry:       entry,
		Customer:    m.Customer,
		Demand:      config.Demand(m.Demand),
		HomeShape:   m.Home,
		Guest:       m.Guest,
		Gang:        true,
		HoldTimeout: m.Limit,
	}, now)
	if admission.Refusal != worker.Admitted {
		r := a.refuse(att, admission.Refusal)
		return &wire.HoldReply{Reason: r.Reason, Free: r.Free}
	}
	a.insert(att, admission)
	return &wire.HoldReply{Granted: true, Free: wire.Demand(a.table.Free())}
}

// serveFreeHold releases a hold unless its member has been prepared.
func (a *Agent) serveFreeHold(m *wire.FreeHold) wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	att := a.attempts[worker.ID{Request: m.Request, Attempt: m.Attempt}]
	if att != nil && att.member && !att.prepared {
		a.discardHold(att, wire.ReasonCancelled)
	}
	return &wire.Ack{OK: true}
}

// discardHold removes a hold that no lead has prepared. The caller holds mu.
func (a *Agent) discardHold(att *attempt, reason wire.Reason) {
	att.requestStop(reason)
	delete(a.attempts, att.id)
	a.applyEvents(a.table.Remove(att.id))
	a.triggerReports(false)
}

// servePrepare loads a member's task on the upstream without starting it. lead is
// the connection to the gang's lead, nil on the lead itself.
func (a *Agent) servePrepare(lead *frame.Conn, m *wire.PrepareMember) *wire.Ack {
	att, ok := a.prepareHold(lead, m)
	if !ok {
		return &wire.Ack{Reason: wire.ReasonLeaseLost}
	}
	if reason := a.waitReady(att); reason != wire.ReasonNone {
		a.finish(att, notStartedResult(reason))
		return &wire.Ack{Reason: reason}
	}
	ctx, cancel := context.WithDeadline(a.ctx, att.deadline)
	defer cancel()
	if err := a.upstreamTasks().Load(ctx, a.upstreamTask(att, m.Lease)); err != nil {
		a.stopTask(att)
		a.finish(att, notStartedResult(wire.ReasonUpstreamError))
		return &wire.Ack{Reason: wire.ReasonUpstreamError}
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.unloadIfStopped(att)
	}()
	return &wire.Ack{OK: true}
}

// prepareHold turns a hold into a gang member with a lease that the lead renews.
func (a *Agent) prepareHold(lead *frame.Conn, m *wire.PrepareMember) (*attempt, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	att := a.attempts[worker.ID{Request: m.Run.Request, Attempt: m.Run.Attempt}]
	if att == nil || !att.member || att.prepared || !a.table.Renew(att.id, now.Add(m.Lease)) {
		return nil, false
	}
	att.prepared = true
	att.run = m.Run
	att.rank, att.size = m.Rank, m.Size
	att.deadline = now.Add(m.Run.Timeout)
	att.lead = lead
	return att, true
}

// unloadIfStopped unloads the task of a prepared member if a stop is requested
// before its release.
func (a *Agent) unloadIfStopped(att *attempt) {
	select {
	case <-att.released:
	case <-att.finished:
	case <-a.ctx.Done():
	case <-att.stopRequested:
		// markStarted fails after requestStop, so this member cannot start.
		if !att.hasStarted() {
			a.stopTask(att)
			a.finish(att, notStartedResult(att.stopReason()))
		}
	}
}

// serveRelease starts a prepared member and waits for its result.
func (a *Agent) serveRelease(m *wire.ReleaseMember) wire.Message {
	id := worker.ID{Request: m.Request, Attempt: m.Attempt}
	a.mu.Lock()
	att := a.attempts[id]
	a.mu.Unlock()
	if att == nil || !att.prepared {
		return &wire.Result{Request: m.Request, Attempt: m.Attempt, Outcome: wire.OutcomeRefused, Reason: wire.ReasonLeaseLost}
	}
	if reason, ok := a.startAttempt(att); !ok {
		att.requestStop(reason)
		return &wire.Result{Request: m.Request, Attempt: m.Attempt, Outcome: wire.OutcomeRefused, Reason: reason}
	}
	close(att.released)
	a.mu.Lock()
	a.table.Renew(id, time.Now().Add(m.Lease))
	a.mu.Unlock()
	answer, err := a.runTask(att, func(ctx context.Context, t upstream.TaskRunner) (upstream.Answer, error) {
		return t.Release(ctx, a.taskID(att), m.Lease)
	})
	a.finish(att, a.resultOf(att, answer, err))
	return att.result
}

// serveRenew extends the lease of a member, in the table and on the upstream.
func (a *Agent) serveRenew(ctx context.Context, m *wire.RenewMember) wire.Message {
	id := worker.ID{Request: m.Request, Attempt: m.Attempt}
	a.mu.Lock()
	att := a.attempts[id]
	ok := att != nil && a.table.Renew(id, time.Now().Add(m.Lease))
	tasks := a.upstream.tasks
	a.mu.Unlock()
	if !ok {
		return &wire.Ack{Reason: wire.ReasonLeaseLost}
	}
	if err := tasks.Renew(ctx, a.taskID(att), m.Lease); err != nil && att.hasStarted() {
		return &wire.Ack{Reason: wire.ReasonUpstreamError}
	}
	return &wire.Ack{OK: true}
}

// serveStop aborts the gang if this agent leads it. Otherwise it stops the gang
// member, or preempts the single task, that runs here.
func (a *Agent) serveStop(m *wire.StopMember) wire.Message {
	id := worker.ID{Request: m.Request, Attempt: m.Attempt}
	a.mu.Lock()
	g, att := a.gangs[id], a.attempts[id]
	a.mu.Unlock()
	if g != nil {
		g.abort(m.Reason)
		return &wire.Ack{OK: true}
	}
	switch {
	case att != nil && att.member:
		a.stopMember(att, m.Reason)
	case att != nil:
		a.preemptSingle(att)
	}
	return &wire.Ack{OK: true}
}

// preemptSingle preempts a single task whose entry needs its resources.
func (a *Agent) preemptSingle(att *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.Stop(att.id) {
		a.preempt(att)
	}
}

// stopMember stops one member at once, or with a checkpoint if the reason is
// preemption.
func (a *Agent) stopMember(att *attempt, reason wire.Reason) {
	att.requestStop(reason)
	a.mu.Lock()
	a.table.Stop(att.id)
	if !att.prepared {
		a.discardHold(att, reason)
	}
	a.mu.Unlock()
	if !att.hasStarted() {
		return
	}
	if reason == wire.ReasonPreempted {
		a.checkpointAsync(att)
		return
	}
	a.stopTaskAsync(att)
}

// preemptMember asks the lead to stop the whole gang. It stops this member on its
// own if the member has not ended within its grace period.
func (a *Agent) preemptMember(att *attempt) {
	if !att.prepared {
		a.discardHold(att, wire.ReasonPreempted)
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.requestGangStop(att)
		if !a.finishedWithin(att, att.run.Grace) {
			att.requestStop(wire.ReasonPreempted)
			a.stopTask(att)
		}
	}()
}

func (a *Agent) requestGangStop(att *attempt) {
	m := &wire.StopMember{Request: att.id.Request, Attempt: att.id.Attempt, Reason: wire.ReasonPreempted}
	if att.lead == nil {
		a.serveStop(m)
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, memberCallTimeout)
	defer cancel()
	_, _ = att.lead.Call(ctx, m)
}

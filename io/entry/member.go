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

// serveHold admits one member of a gang. It never waits: either the resources
// are promised now or the hold is refused.
func (a *Agent) serveHold(entry string, m *wire.Hold) wire.Message {
	now := time.Now()
	w := newWork(wire.RunRequest{
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
	w.member = true
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.table.Admit(worker.AdmitRequest{
		ID:          w.id,
		Entry:       entry,
		Customer:    m.Customer,
		Demand:      config.Demand(m.Demand),
		HomeShape:   m.Home,
		Guest:       m.Guest,
		Gang:        true,
		HoldTimeout: m.Limit,
	}, now)
	if g.Refusal != worker.Admitted {
		r := a.refuse(w, g.Refusal)
		return &wire.HoldReply{Reason: r.Reason, Free: r.Free}
	}
	a.insert(w, g)
	return &wire.HoldReply{Granted: true, Free: wire.Demand(a.table.Free())}
}

// serveFree gives up a hold that has not been parked.
func (a *Agent) serveFree(m *wire.FreeHold) wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.works[worker.ID{Request: m.Request, Attempt: m.Attempt}]
	if w != nil && w.member && !w.executing {
		a.discard(w, wire.ReasonCancelled)
	}
	return &wire.Ack{OK: true}
}

// discard drops a hold that nobody executes. The caller holds mu.
func (a *Agent) discard(w *work, reason wire.Reason) {
	w.stop(reason)
	delete(a.works, w.id)
	a.apply(a.table.Remove(w.id))
	a.notify(false)
}

// servePark loads a member's part of the gang on the upstream, without
// starting it. lead is the connection to the gang's lead, nil on the lead
// itself.
func (a *Agent) servePark(lead *frame.Conn, m *wire.PrepareMember) *wire.Ack {
	w, ok := a.takeHold(lead, m)
	if !ok {
		return &wire.Ack{Reason: wire.ReasonLeaseLost}
	}
	if reason := a.waitReady(w); reason != wire.ReasonNone {
		a.finish(w, notStarted(reason))
		return &wire.Ack{Reason: reason}
	}
	ctx, cancel := context.WithDeadline(a.ctx, w.deadline)
	defer cancel()
	if err := a.tasks().Load(ctx, a.task(w, m.Lease)); err != nil {
		a.stopTask(w)
		a.finish(w, notStarted(wire.ReasonUpstreamError))
		return &wire.Ack{Reason: wire.ReasonUpstreamError}
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.guardParked(w)
	}()
	return &wire.Ack{OK: true}
}

// takeHold turns a hold into a member under its lead's lease.
func (a *Agent) takeHold(lead *frame.Conn, m *wire.PrepareMember) (*work, bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.works[worker.ID{Request: m.Run.Request, Attempt: m.Run.Attempt}]
	if w == nil || !w.member || w.executing || !a.table.Renew(w.id, now.Add(m.Lease)) {
		return nil, false
	}
	w.executing = true
	w.run = m.Run
	w.rank, w.size = m.Rank, m.Size
	w.deadline = now.Add(m.Run.Timeout)
	w.lead = lead
	return w, true
}

// guardParked unloads a parked member that is stopped before its release.
func (a *Agent) guardParked(w *work) {
	select {
	case <-w.released:
	case <-w.finished:
	case <-a.ctx.Done():
	case <-w.halt:
		// begin and halt exclude each other, so this part cannot start.
		if !w.hasStarted() {
			a.stopTask(w)
			a.finish(w, notStarted(w.haltReason()))
		}
	}
}

// serveRelease starts a parked member and waits for its result.
func (a *Agent) serveRelease(m *wire.ReleaseMember) wire.Message {
	id := worker.ID{Request: m.Request, Attempt: m.Attempt}
	a.mu.Lock()
	w := a.works[id]
	a.mu.Unlock()
	if w == nil || !w.executing {
		return &wire.Result{Request: m.Request, Attempt: m.Attempt, Outcome: wire.OutcomeRefused, Reason: wire.ReasonLeaseLost}
	}
	if reason, ok := a.begin(w); !ok {
		w.stop(reason)
		return &wire.Result{Request: m.Request, Attempt: m.Attempt, Outcome: wire.OutcomeRefused, Reason: reason}
	}
	close(w.released)
	a.mu.Lock()
	a.table.Renew(id, time.Now().Add(m.Lease))
	a.mu.Unlock()
	answer, err := a.runTask(w, func(ctx context.Context, t upstream.Tasks) (upstream.Answer, error) {
		return t.Release(ctx, a.taskID(w), m.Lease)
	})
	a.finish(w, a.conclude(w, answer, err))
	return w.result
}

// serveRenew extends the lease of a member, here and on the upstream.
func (a *Agent) serveRenew(ctx context.Context, m *wire.RenewMember) wire.Message {
	id := worker.ID{Request: m.Request, Attempt: m.Attempt}
	a.mu.Lock()
	w := a.works[id]
	ok := w != nil && a.table.Renew(id, time.Now().Add(m.Lease))
	tasks := a.upstream.tasks
	a.mu.Unlock()
	if !ok {
		return &wire.Ack{Reason: wire.ReasonLeaseLost}
	}
	if err := tasks.Renew(ctx, a.taskID(w), m.Lease); err != nil && w.hasStarted() {
		return &wire.Ack{Reason: wire.ReasonUpstreamError}
	}
	return &wire.Ack{OK: true}
}

// serveStop stops a member, or on the lead breaks the gang that the member
// which asks is part of.
func (a *Agent) serveStop(m *wire.StopMember) wire.Message {
	id := worker.ID{Request: m.Request, Attempt: m.Attempt}
	a.mu.Lock()
	g, w := a.gangs[id], a.works[id]
	a.mu.Unlock()
	if g != nil {
		g.breakUp(m.Reason)
		return &wire.Ack{OK: true}
	}
	switch {
	case w != nil && w.member:
		a.stopMember(w, m.Reason)
	case w != nil:
		a.yield(w)
	}
	return &wire.Ack{OK: true}
}

// yield preempts a single task that its entry wants to make room.
func (a *Agent) yield(w *work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.Stop(w.id) {
		a.preempt(w)
	}
}

// stopMember stops one member at once, or with a checkpoint if it is
// preempted.
func (a *Agent) stopMember(w *work, reason wire.Reason) {
	w.stop(reason)
	a.mu.Lock()
	a.table.Stop(w.id)
	if !w.executing {
		a.discard(w, reason)
	}
	a.mu.Unlock()
	if !w.hasStarted() {
		return
	}
	if reason == wire.ReasonPreempted {
		a.goCheckpoint(w)
		return
	}
	a.goStop(w)
}

// goPreemptMember asks the lead to stop the whole gang, and stops this member
// by itself if that has not happened within the grace.
func (a *Agent) goPreemptMember(w *work) {
	if !w.executing {
		a.discard(w, wire.ReasonPreempted)
		return
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.askLead(w)
		if !a.finishedWithin(w, w.run.Grace) {
			w.stop(wire.ReasonPreempted)
			a.stopTask(w)
		}
	}()
}

func (a *Agent) askLead(w *work) {
	m := &wire.StopMember{Request: w.id.Request, Attempt: w.id.Attempt, Reason: wire.ReasonPreempted}
	if w.lead == nil {
		a.serveStop(m)
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	_, _ = w.lead.Call(ctx, m)
}

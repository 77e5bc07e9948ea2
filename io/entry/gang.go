package entry

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleythread/io/wire"
)

// Leases of gangs. A part of a gang can run without the others no longer than
// MaxPartialRun after a fault: the lead finds a lost member within one renewal
// and its timeout, and members whose lead says nothing more stop when their
// lease ends.
const (
	gangLease   = 1500 * time.Millisecond
	gangRenewal = 400 * time.Millisecond
	callTimeout = time.Second

	MaxPartialRun = gangRenewal + callTimeout + gangLease
)

// gang is a gang that this agent leads.
type gang struct {
	*work
	seats  []seat
	ended  []atomic.Bool // by seat
	broken chan struct{} // closed when the gang must stop
	once   sync.Once
	cause  wire.Reason
}

// breakUp makes the lead stop every member.
func (g *gang) breakUp(reason wire.Reason) {
	g.once.Do(func() {
		g.cause = reason
		close(g.broken)
	})
}

func (g *gang) endSeat(rank int) { g.ended[rank].Store(true) }

func (g *gang) seatEnded(rank int) bool { return g.ended[rank].Load() }

func (g *gang) isBroken() bool {
	select {
	case <-g.broken:
		return true
	default:
		return false
	}
}

// serveGang leads a gang whose members all hold their resources.
func (a *Agent) serveGang(ctx context.Context, entry string, m *wire.StartGang) wire.Message {
	w := newWork(m.Run, entry, time.Now())
	a.mu.Lock()
	if known := a.sameLed(w); known != nil {
		a.mu.Unlock()
		return a.await(ctx, known)
	}
	g := &gang{work: w, broken: make(chan struct{}), ended: make([]atomic.Bool, len(m.Members))}
	a.gangs[w.id] = g
	a.remember(w)
	a.mu.Unlock()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.finishGang(g, a.lead(g, m.Members))
	}()
	return a.await(ctx, w)
}

// sameLed returns the gang or finished work that w repeats. The caller holds
// mu.
func (a *Agent) sameLed(w *work) *work {
	if g := a.gangs[w.id]; g != nil {
		return g.work
	}
	return a.repeated(w)
}

func (a *Agent) finishGang(g *gang, r *wire.Result) {
	a.mu.Lock()
	delete(a.gangs, g.id)
	a.mu.Unlock()
	a.settle(g.work, r)
}

// lead brings a gang to its result.
func (a *Agent) lead(g *gang, members []wire.Member) *wire.Result {
	defer a.watchLed(g)()
	seats, reason := a.seats(members)
	g.seats = seats
	if reason != wire.ReasonNone {
		a.stopSeats(g, reason)
		return notStarted(reason)
	}
	renewing, stopRenewing := context.WithCancel(a.ctx)
	defer stopRenewing()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.renewSeats(renewing, g)
	}()
	if reason := a.parkAll(g); reason != wire.ReasonNone {
		a.stopSeats(g, reason)
		return notStarted(reason)
	}
	if r := a.claim(g.work); r != nil {
		a.stopSeats(g, r.Reason)
		return r
	}
	if reason, ok := g.begin(time.Now()); !ok || g.isBroken() {
		if ok {
			reason = g.cause
		}
		a.openClaim(g.work, g.run.Checkpoint)
		a.stopSeats(g, reason)
		return notStarted(reason)
	}
	return a.concludeGang(g, a.releaseAll(g))
}

// watchLed breaks the gang up when its work is halted, as by a cancellation.
func (a *Agent) watchLed(g *gang) (stop func()) {
	done := make(chan struct{})
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		select {
		case <-g.halt:
			g.breakUp(g.haltReason())
		case <-done:
		}
	}()
	return func() { close(done) }
}

// each calls f for every seat at once and waits for all.
func (g *gang) each(f func(rank int, s seat)) {
	var wg sync.WaitGroup
	for rank, s := range g.seats {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(rank, s)
		}()
	}
	wg.Wait()
}

// parkAll has every member load its part.
func (a *Agent) parkAll(g *gang) wire.Reason {
	ctx, cancel := context.WithDeadline(a.ctx, g.deadline)
	defer cancel()
	parts := strings.Split(g.run.Checkpoint, ",")
	reasons := make([]wire.Reason, len(g.seats))
	g.each(func(rank int, s seat) {
		m := &wire.PrepareMember{Run: g.run, Rank: rank, Size: len(g.seats), Lease: gangLease}
		m.Run.Timeout = time.Until(g.deadline)
		m.Run.Checkpoint = ""
		if len(parts) == len(g.seats) {
			m.Run.Checkpoint = parts[rank]
		}
		d, err := s.park(ctx, m)
		switch {
		case err != nil:
			reasons[rank] = wire.ReasonAgentLost
		case !d.OK:
			reasons[rank] = d.Reason
		}
		if reasons[rank] != wire.ReasonNone {
			cancel()
		}
	})
	for _, r := range reasons {
		if r != wire.ReasonNone {
			return r
		}
	}
	return wire.ReasonNone
}

// renewSeats keeps the members' leases until ctx ends or one is lost.
func (a *Agent) renewSeats(ctx context.Context, g *gang) {
	t := time.NewTicker(gangRenewal)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.broken:
			return
		case <-t.C:
			a.renewOnce(ctx, g)
		}
	}
}

func (a *Agent) renewOnce(ctx context.Context, g *gang) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.each(func(rank int, s seat) {
		if g.seatEnded(rank) {
			return
		}
		d, err := s.renew(ctx, &wire.RenewMember{Request: g.id.Request, Attempt: g.id.Attempt, Lease: gangLease})
		if ctx.Err() == context.Canceled || g.seatEnded(rank) {
			return
		}
		if err != nil || !d.OK {
			g.breakUp(wire.ReasonGangBroken)
		}
	})
}

// releaseAll starts every member at once and collects the results. The first
// member that does not answer a whole result breaks the gang.
func (a *Agent) releaseAll(g *gang) []*wire.Result {
	results := make([]*wire.Result, len(g.seats))
	stopped := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-g.broken:
			a.stopSeats(g, g.cause)
		case <-finished:
		}
	}()
	g.each(func(rank int, s seat) {
		r, err := s.release(a.ctx, &wire.ReleaseMember{Request: g.id.Request, Attempt: g.id.Attempt, Lease: gangLease})
		if err != nil {
			r = &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAgentLost, Started: true}
		}
		results[rank] = r
		g.endSeat(rank)
		if r.Outcome != wire.OutcomeRan || r.Status >= failedStatus {
			g.breakUp(wire.ReasonGangBroken)
		}
	})
	close(finished)
	<-stopped
	return results
}

const failedStatus = 500

// stopSeats stops every member that has not ended.
func (a *Agent) stopSeats(g *gang, reason wire.Reason) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	g.each(func(rank int, s seat) {
		if !g.seatEnded(rank) {
			_ = s.stop(ctx, &wire.StopMember{Request: g.id.Request, Attempt: g.id.Attempt, Reason: reason})
		}
	})
}

// concludeGang makes one result of the members' results.
func (a *Agent) concludeGang(g *gang, results []*wire.Result) *wire.Result {
	count := make(map[wire.Outcome]int)
	parts := make([]string, len(results))
	saved := true
	for i, r := range results {
		count[r.Outcome]++
		parts[i] = r.Checkpoint
		saved = saved && r.Checkpoint != ""
		if r.Outcome == wire.OutcomeRan && r.Status >= failedStatus {
			return copyResult(r)
		}
	}
	switch {
	case count[wire.OutcomeRan] == len(results):
		return copyResult(results[0])
	case count[wire.OutcomeRefused] == len(results):
		a.openClaim(g.work, g.run.Checkpoint)
		return notStarted(results[0].Reason)
	case saved:
		checkpoint := strings.Join(parts, ",")
		a.openClaim(g.work, checkpoint)
		return &wire.Result{Outcome: wire.OutcomePreempted, Reason: g.cause, Checkpoint: checkpoint, Started: true}
	case g.run.Repeatable && g.cause != wire.ReasonCancelled:
		return &wire.Result{Outcome: wire.OutcomePreempted, Reason: g.cause, Started: true}
	default:
		return &wire.Result{Outcome: wire.OutcomeUnknown, Reason: g.cause, Started: true}
	}
}

func copyResult(r *wire.Result) *wire.Result {
	c := *r
	return &c
}

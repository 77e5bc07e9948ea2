package entry

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleythread/io/wire"
)

// Timing of gang leases. After a fault, a part of a gang runs without the other
// members for at most MaxPartialRun: the lead detects a lost member within one
// renewal interval and the timeout of the call, and members that the lead no
// longer renews stop when their lease expires.
const (
	gangLease         = 1500 * time.Millisecond
	gangRenewInterval = 400 * time.Millisecond
	memberCallTimeout = time.Second

	MaxPartialRun = gangRenewInterval + memberCallTimeout + gangLease
)

// gang is a gang of tasks that start and stop together. This agent is its lead: it
// renews the members' leases and combines their results.
type gang struct {
	*attempt
	members     []memberClient
	ended       []atomic.Bool // by rank
	aborted     chan struct{} // closed when the gang must stop
	once        sync.Once
	abortReason wire.Reason
}

// abort makes the lead stop every member. Only the first reason counts.
func (g *gang) abort(reason wire.Reason) {
	g.once.Do(func() {
		g.abortReason = reason
		close(g.aborted)
	})
}

func (g *gang) markEnded(rank int) { g.ended[rank].Store(true) }

func (g *gang) hasEnded(rank int) bool { return g.ended[rank].Load() }

func (g *gang) isAborted() bool {
	select {
	case <-g.aborted:
		return true
	default:
		return false
	}
}

// serveGang runs a gang as its lead and returns its result. Every member must
// hold its resources already.
func (a *Agent) serveGang(ctx context.Context, entry string, m *wire.StartGang) wire.Message {
	att := newAttempt(m.Run, entry, time.Now())
	a.mu.Lock()
	if known := a.duplicateGang(att); known != nil {
		a.mu.Unlock()
		return a.awaitResult(ctx, known)
	}
	g := &gang{attempt: att, aborted: make(chan struct{}), ended: make([]atomic.Bool, len(m.Members))}
	a.gangs[att.id] = g
	a.index(att)
	a.mu.Unlock()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.finishGang(g, a.runGang(g, m.Members))
	}()
	return a.awaitResult(ctx, att)
}

// duplicateGang returns the running gang or retained attempt of which att is a
// duplicate, or nil. The caller holds mu.
func (a *Agent) duplicateGang(att *attempt) *attempt {
	if g := a.gangs[att.id]; g != nil {
		return g.attempt
	}
	return a.latestDuplicate(att)
}

func (a *Agent) finishGang(g *gang, r *wire.Result) {
	a.mu.Lock()
	delete(a.gangs, g.id)
	a.mu.Unlock()
	a.publishResult(g.attempt, r)
}

// runGang prepares, starts and supervises the members of a gang and returns the
// gang's result.
func (a *Agent) runGang(g *gang, members []wire.Member) *wire.Result {
	defer a.abortOnStop(g)()
	clients, reason := a.connectMembers(members)
	g.members = clients
	if reason != wire.ReasonNone {
		a.stopMembers(g, reason)
		return notStartedResult(reason)
	}
	renewCtx, stopRenewing := context.WithCancel(a.ctx)
	defer stopRenewing()
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		a.renewMembers(renewCtx, g)
	}()
	if reason := a.prepareMembers(g); reason != wire.ReasonNone {
		a.stopMembers(g, reason)
		return notStartedResult(reason)
	}
	if r := a.acquireClaim(g.attempt); r != nil {
		a.stopMembers(g, r.Reason)
		return r
	}
	if reason, ok := g.markStarted(time.Now()); !ok || g.isAborted() {
		if ok {
			reason = g.abortReason
		}
		a.reopenClaim(g.attempt, g.run.Checkpoint)
		a.stopMembers(g, reason)
		return notStartedResult(reason)
	}
	return a.combineResults(g, a.releaseMembers(g))
}

// abortOnStop aborts the gang when a stop of its attempt is requested, for example
// by a cancellation. Calling stop ends the watch.
func (a *Agent) abortOnStop(g *gang) (stop func()) {
	done := make(chan struct{})
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		select {
		case <-g.stopRequested:
			g.abort(g.stopReason())
		case <-done:
		}
	}()
	return func() { close(done) }
}

// forEachMember calls f for all members concurrently and waits for the calls.
func (g *gang) forEachMember(f func(rank int, c memberClient)) {
	var wg sync.WaitGroup
	for rank, c := range g.members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(rank, c)
		}()
	}
	wg.Wait()
}

// prepareMembers makes every member load its task.
func (a *Agent) prepareMembers(g *gang) wire.Reason {
	ctx, cancel := context.WithDeadline(a.ctx, g.deadline)
	defer cancel()
	checkpoints := strings.Split(g.run.Checkpoint, ",")
	reasons := make([]wire.Reason, len(g.members))
	g.forEachMember(func(rank int, c memberClient) {
		m := &wire.PrepareMember{Run: g.run, Rank: rank, Size: len(g.members), Lease: gangLease}
		m.Run.Timeout = time.Until(g.deadline)
		m.Run.Checkpoint = ""
		if len(checkpoints) == len(g.members) {
			m.Run.Checkpoint = checkpoints[rank]
		}
		ack, err := c.prepare(ctx, m)
		switch {
		case err != nil:
			reasons[rank] = wire.ReasonAgentLost
		case !ack.OK:
			reasons[rank] = ack.Reason
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

// renewMembers renews the members' leases until ctx ends or the gang is aborted.
func (a *Agent) renewMembers(ctx context.Context, g *gang) {
	t := time.NewTicker(gangRenewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.aborted:
			return
		case <-t.C:
			a.renewMembersOnce(ctx, g)
		}
	}
}

func (a *Agent) renewMembersOnce(ctx context.Context, g *gang) {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	g.forEachMember(func(rank int, c memberClient) {
		if g.hasEnded(rank) {
			return
		}
		ack, err := c.renew(ctx, &wire.RenewMember{Request: g.id.Request, Attempt: g.id.Attempt, Lease: gangLease})
		if ctx.Err() == context.Canceled || g.hasEnded(rank) {
			return
		}
		if err != nil || !ack.OK {
			g.abort(wire.ReasonGangBroken)
		}
	})
}

// releaseMembers starts all members concurrently and collects their results. The
// first member that does not run to a successful answer aborts the gang.
func (a *Agent) releaseMembers(g *gang) []*wire.Result {
	results := make([]*wire.Result, len(g.members))
	stopped := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-g.aborted:
			a.stopMembers(g, g.abortReason)
		case <-finished:
		}
	}()
	g.forEachMember(func(rank int, c memberClient) {
		r, err := c.release(a.ctx, &wire.ReleaseMember{Request: g.id.Request, Attempt: g.id.Attempt, Lease: gangLease})
		if err != nil {
			r = &wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAgentLost, Started: true}
		}
		results[rank] = r
		g.markEnded(rank)
		if r.Outcome != wire.OutcomeRan || r.Status >= minFailedStatus {
			g.abort(wire.ReasonGangBroken)
		}
	})
	close(finished)
	<-stopped
	return results
}

const minFailedStatus = 500 // lowest HTTP status that means failure

// stopMembers stops the members that have not ended.
func (a *Agent) stopMembers(g *gang, reason wire.Reason) {
	ctx, cancel := context.WithTimeout(a.ctx, memberCallTimeout)
	defer cancel()
	g.forEachMember(func(rank int, c memberClient) {
		if !g.hasEnded(rank) {
			_ = c.stop(ctx, &wire.StopMember{Request: g.id.Request, Attempt: g.id.Attempt, Reason: reason})
		}
	})
}

// combineResults returns the result of the gang, given those of its members.
func (a *Agent) combineResults(g *gang, results []*wire.Result) *wire.Result {
	count := make(map[wire.Outcome]int)
	checkpoints := make([]string, len(results))
	allCheckpointed := true
	for i, r := range results {
		count[r.Outcome]++
		checkpoints[i] = r.Checkpoint
		allCheckpointed = allCheckpointed && r.Checkpoint != ""
		if r.Outcome == wire.OutcomeRan && r.Status >= minFailedStatus {
			return copyResult(r)
		}
	}
	switch {
	case count[wire.OutcomeRan] == len(results):
		return copyResult(results[0])
	case count[wire.OutcomeRefused] == len(results):
		a.reopenClaim(g.attempt, g.run.Checkpoint)
		return notStartedResult(results[0].Reason)
	case allCheckpointed:
		checkpoint := strings.Join(checkpoints, ",")
		a.reopenClaim(g.attempt, checkpoint)
		return &wire.Result{Outcome: wire.OutcomePreempted, Reason: g.abortReason, Checkpoint: checkpoint, Started: true}
	case g.run.Repeatable && g.abortReason != wire.ReasonCancelled:
		return &wire.Result{Outcome: wire.OutcomePreempted, Reason: g.abortReason, Started: true}
	default:
		return &wire.Result{Outcome: wire.OutcomeUnknown, Reason: g.abortReason, Started: true}
	}
}

func copyResult(r *wire.Result) *wire.Result {
	c := *r
	return &c
}

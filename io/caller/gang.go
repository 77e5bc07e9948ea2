package caller

import (
	"context"
	"errors"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// Timing of the holds of a gang. A hold reserves resources on one worker.
const (
	holdLifetime    = 5 * time.Second // after which an unused hold expires
	holdCallTimeout = time.Second     // of one call to an agent
)

// callGang acquires a hold on every member of a gang and sends the run to its
// lead, the first member. Holds are acquired in the global worker order. A refusal
// releases the holds acquired so far.
func (e *Entry) callGang(ctx context.Context, r *request, m *wire.RunRequest, workers []string) (wire.Message, error) {
	members, err := e.pool.Members(workers)
	if err != nil {
		return nil, err
	}
	for i, member := range members {
		refused := e.acquireHold(ctx, member.Worker, m)
		if refused == nil {
			continue
		}
		// If its reply was lost, this member may have granted the hold too.
		e.releaseHolds(members[:i+1], m)
		e.updateFree(refused, member.Worker)
		return refused, nil
	}
	g := &wire.StartGang{Run: *m, Members: members}
	g.Run.Timeout = time.Until(r.deadline)
	reply, err := e.pool.Call(ctx, members[0].Worker, g)
	return reply, e.releaseUnsentGang(members, m, err)
}

// releaseUnsentGang releases the holds of a gang whose run was never sent to its
// lead. It returns err.
func (e *Entry) releaseUnsentGang(members []wire.Member, m *wire.RunRequest, err error) error {
	if err != nil && !wasSent(err) {
		e.releaseHolds(members, m)
	}
	return err
}

// acquireHold acquires a hold on one member. It returns nil, or the refusal.
func (e *Entry) acquireHold(ctx context.Context, worker string, m *wire.RunRequest) *wire.Result {
	ctx, cancel := context.WithTimeout(ctx, holdCallTimeout)
	defer cancel()
	reply, err := e.pool.Call(ctx, worker, &wire.Hold{
		Request:  m.Request,
		Attempt:  m.Attempt,
		Customer: m.Customer,
		Demand:   m.Demand,
		Home:     m.Home,
		Guest:    m.Guest,
		Limit:    holdLifetime,
		Grace:    m.Grace,
	})
	refused := &wire.Result{Request: m.Request, Attempt: m.Attempt, Outcome: wire.OutcomeRefused}
	if err != nil {
		refused.Reason = wire.ReasonAgentLost
		return refused
	}
	h, ok := reply.(*wire.HoldReply)
	if !ok {
		refused.Reason = wire.ReasonAgentLost
		return refused
	}
	if h.Granted {
		return nil
	}
	refused.Reason, refused.Free = h.Reason, h.Free
	return refused
}

// updateFree updates the free resources of a worker if its refusal of a hold
// reports them, and then changes the refusal's reason to ReasonGangBroken.
func (e *Entry) updateFree(refused *wire.Result, worker string) {
	free := e.reportedFree(refused)
	if free == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.SetFree(worker, *free)
	refused.Reason = wire.ReasonGangBroken
}

// releaseHolds releases the holds on the given members in the background.
func (e *Entry) releaseHolds(members []wire.Member, m *wire.RunRequest) {
	for _, member := range members {
		e.startGoroutine(func() {
			ctx, cancel := context.WithTimeout(e.ctx, holdCallTimeout)
			defer cancel()
			// A hold that is not released expires after holdLifetime.
			_, _ = e.pool.Call(ctx, member.Worker, &wire.FreeHold{Request: m.Request, Attempt: m.Attempt})
		})
	}
}

// wasSent reports whether a failed call may have reached its peer.
func wasSent(err error) bool {
	var closed *frame.ClosedError
	return errors.As(err, &closed) && closed.Sent
}

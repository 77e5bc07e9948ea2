package caller

import (
	"context"
	"errors"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// Limits of the holds of a gang.
const (
	holdLimit   = 5 * time.Second // life of a hold
	holdTimeout = time.Second     // of one call
)

// callGang takes the holds of a gang in the global worker order and hands the
// gang to its lead, the first member. A refusal frees the holds taken.
func (e *Entry) callGang(ctx context.Context, r *request, m *wire.RunRequest, workers []string) (wire.Message, error) {
	members, err := e.pool.Members(workers)
	if err != nil {
		return nil, err
	}
	for i, member := range members {
		refused := e.hold(ctx, member.Worker, m)
		if refused == nil {
			continue
		}
		// The member whose reply was lost may hold too.
		e.freeHolds(members[:i+1], m)
		e.noteFree(refused, member.Worker)
		return refused, nil
	}
	g := &wire.StartGang{Run: *m, Members: members}
	g.Run.Timeout = time.Until(r.deadline)
	reply, err := e.pool.Call(ctx, members[0].Worker, g)
	return reply, e.unsentGang(members, m, err)
}

// unsentGang frees the holds of a gang that never reached its lead.
func (e *Entry) unsentGang(members []wire.Member, m *wire.RunRequest, err error) error {
	if err != nil && !wasSent(err) {
		e.freeHolds(members, m)
	}
	return err
}

// hold takes the hold of one member; it returns the refusal, or nil.
func (e *Entry) hold(ctx context.Context, worker string, m *wire.RunRequest) *wire.Result {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	reply, err := e.pool.Call(ctx, worker, &wire.Hold{
		Request:  m.Request,
		Attempt:  m.Attempt,
		Customer: m.Customer,
		Demand:   m.Demand,
		Home:     m.Home,
		Guest:    m.Guest,
		Limit:    holdLimit,
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

// noteFree corrects what is known of the worker that refused a hold.
func (e *Entry) noteFree(refused *wire.Result, worker string) {
	free := e.freeAfter(refused)
	if free == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.SetFree(worker, *free)
	refused.Reason = wire.ReasonGangBroken
}

func (e *Entry) freeHolds(members []wire.Member, m *wire.RunRequest) {
	for _, member := range members {
		e.run(func() {
			ctx, cancel := context.WithTimeout(e.ctx, holdTimeout)
			defer cancel()
			// A hold that is not freed lapses.
			_, _ = e.pool.Call(ctx, member.Worker, &wire.FreeHold{Request: m.Request, Attempt: m.Attempt})
		})
	}
}

// wasSent reports whether a failed call may have reached its peer.
func wasSent(err error) bool {
	var closed *frame.ClosedError
	return errors.As(err, &closed) && closed.Sent
}

package entry

import (
	"context"
	"sync"

	"bramleythread/core/worker"
	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// seat is one member as the lead reaches it.
type seat struct {
	worker  string
	park    func(ctx context.Context, m *wire.PrepareMember) (*wire.Ack, error)
	release func(ctx context.Context, m *wire.ReleaseMember) (*wire.Result, error)
	renew   func(ctx context.Context, m *wire.RenewMember) (*wire.Ack, error)
	stop    func(ctx context.Context, m *wire.StopMember) error
}

// seats connects to the members.
func (a *Agent) seats(members []wire.Member) ([]seat, wire.Reason) {
	seats := make([]seat, len(members))
	var mu sync.Mutex
	reason := wire.ReasonNone
	var wg sync.WaitGroup
	for i, m := range members {
		if m.Worker == a.cfg.Name {
			seats[i] = a.ownSeat()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := a.member(m)
			if err != nil {
				mu.Lock()
				reason = wire.ReasonAgentLost
				mu.Unlock()
				seats[i] = lostSeat(err)
				return
			}
			seats[i] = remoteSeat(m.Worker, c)
		}()
	}
	wg.Wait()
	return seats, reason
}

func (a *Agent) ownSeat() seat {
	return seat{
		worker: a.cfg.Name,
		park: func(_ context.Context, m *wire.PrepareMember) (*wire.Ack, error) {
			return a.servePark(nil, m), nil
		},
		release: func(_ context.Context, m *wire.ReleaseMember) (*wire.Result, error) {
			return reply[*wire.Result](a.serveRelease(m), nil)
		},
		renew: func(ctx context.Context, m *wire.RenewMember) (*wire.Ack, error) {
			return reply[*wire.Ack](a.serveRenew(ctx, m), nil)
		},
		stop: func(_ context.Context, m *wire.StopMember) error {
			a.mu.Lock()
			w := a.works[worker.ID{Request: m.Request, Attempt: m.Attempt}]
			a.mu.Unlock()
			if w != nil {
				a.stopMember(w, m.Reason)
			}
			return nil
		},
	}
}

func remoteSeat(name string, c *frame.Conn) seat {
	return seat{
		worker: name,
		park: func(ctx context.Context, m *wire.PrepareMember) (*wire.Ack, error) {
			return reply[*wire.Ack](c.Call(ctx, m))
		},
		release: func(ctx context.Context, m *wire.ReleaseMember) (*wire.Result, error) {
			return reply[*wire.Result](c.Call(ctx, m))
		},
		renew: func(ctx context.Context, m *wire.RenewMember) (*wire.Ack, error) {
			return reply[*wire.Ack](c.Call(ctx, m))
		},
		stop: func(ctx context.Context, m *wire.StopMember) error {
			_, err := c.Call(ctx, m)
			return err
		},
	}
}

// lostSeat is a member that could not be reached.
func lostSeat(err error) seat {
	return seat{
		park:    func(context.Context, *wire.PrepareMember) (*wire.Ack, error) { return nil, err },
		release: func(context.Context, *wire.ReleaseMember) (*wire.Result, error) { return nil, err },
		renew:   func(context.Context, *wire.RenewMember) (*wire.Ack, error) { return nil, err },
		stop:    func(context.Context, *wire.StopMember) error { return err },
	}
}

// reply asserts the type of a reply.
func reply[T wire.Message](m wire.Message, err error) (T, error) {
	var none T
	if err != nil {
		return none, err
	}
	t, ok := m.(T)
	if !ok {
		return none, &wire.UnknownKindError{Kind: m.Kind()}
	}
	return t, nil
}

// member returns a connection to another agent.
func (a *Agent) member(m wire.Member) (*frame.Conn, error) {
	a.mu.Lock()
	c := a.members[m.Address]
	a.mu.Unlock()
	if c != nil && !c.Closed() {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	c, err := frame.Dial(ctx, m.Address, a.frameConfig())
	if err != nil {
		return nil, err
	}
	if c.Peer().Name != m.Worker {
		c.Close()
		return nil, &frame.HandshakeError{Peer: c.Peer().Name, Reason: "not worker " + m.Worker}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		c.Close()
		return nil, context.Canceled
	}
	a.members[m.Address] = c
	return c, nil
}

package entry

import (
	"context"
	"sync"

	"bramleythread/core/worker"
	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// memberClient is what the lead calls to control one member of its gang.
type memberClient struct {
	worker  string
	prepare func(ctx context.Context, m *wire.PrepareMember) (*wire.Ack, error)
	release func(ctx context.Context, m *wire.ReleaseMember) (*wire.Result, error)
	renew   func(ctx context.Context, m *wire.RenewMember) (*wire.Ack, error)
	stop    func(ctx context.Context, m *wire.StopMember) error
}

// connectMembers returns a client for each member. The reason is ReasonNone unless
// a member is unreachable.
func (a *Agent) connectMembers(members []wire.Member) ([]memberClient, wire.Reason) {
	clients := make([]memberClient, len(members))
	var mu sync.Mutex
	reason := wire.ReasonNone
	var wg sync.WaitGroup
	for i, m := range members {
		if m.Worker == a.cfg.Name {
			clients[i] = a.localMember()
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := a.dialMember(m)
			if err != nil {
				mu.Lock()
				reason = wire.ReasonAgentLost
				mu.Unlock()
				clients[i] = unreachableMember(err)
				return
			}
			clients[i] = remoteMember(m.Worker, c)
		}()
	}
	wg.Wait()
	return clients, reason
}

func (a *Agent) localMember() memberClient {
	return memberClient{
		worker: a.cfg.Name,
		prepare: func(_ context.Context, m *wire.PrepareMember) (*wire.Ack, error) {
			return a.servePrepare(nil, m), nil
		},
		release: func(_ context.Context, m *wire.ReleaseMember) (*wire.Result, error) {
			return replyAs[*wire.Result](a.serveRelease(m), nil)
		},
		renew: func(ctx context.Context, m *wire.RenewMember) (*wire.Ack, error) {
			return replyAs[*wire.Ack](a.serveRenew(ctx, m), nil)
		},
		stop: func(_ context.Context, m *wire.StopMember) error {
			a.mu.Lock()
			att := a.attempts[worker.ID{Request: m.Request, Attempt: m.Attempt}]
			a.mu.Unlock()
			if att != nil {
				a.stopMember(att, m.Reason)
			}
			return nil
		},
	}
}

func remoteMember(name string, c *frame.Conn) memberClient {
	return memberClient{
		worker: name,
		prepare: func(ctx context.Context, m *wire.PrepareMember) (*wire.Ack, error) {
			return replyAs[*wire.Ack](c.Call(ctx, m))
		},
		release: func(ctx context.Context, m *wire.ReleaseMember) (*wire.Result, error) {
			return replyAs[*wire.Result](c.Call(ctx, m))
		},
		renew: func(ctx context.Context, m *wire.RenewMember) (*wire.Ack, error) {
			return replyAs[*wire.Ack](c.Call(ctx, m))
		},
		stop: func(ctx context.Context, m *wire.StopMember) error {
			_, err := c.Call(ctx, m)
			return err
		},
	}
}

// unreachableMember returns a client whose calls fail with err.
func unreachableMember(err error) memberClient {
	return memberClient{
		prepare: func(context.Context, *wire.PrepareMember) (*wire.Ack, error) { return nil, err },
		release: func(context.Context, *wire.ReleaseMember) (*wire.Result, error) { return nil, err },
		renew:   func(context.Context, *wire.RenewMember) (*wire.Ack, error) { return nil, err },
		stop:    func(context.Context, *wire.StopMember) error { return err },
	}
}

// replyAs converts a reply to the expected message type.
func replyAs[T wire.Message](m wire.Message, err error) (T, error) {
	var zero T
	if err != nil {
		return zero, err
	}
	t, ok := m.(T)
	if !ok {
		return zero, &wire.UnknownKindError{Kind: m.Kind()}
	}
	return t, nil
}

// dialMember returns the connection to another agent and dials if there is none.
func (a *Agent) dialMember(m wire.Member) (*frame.Conn, error) {
	a.mu.Lock()
	c := a.memberConns[m.Address]
	a.mu.Unlock()
	if c != nil && !c.Closed() {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, memberCallTimeout)
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
	a.memberConns[m.Address] = c
	return c, nil
}

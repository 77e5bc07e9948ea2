package entry

import (
	"context"
	"net"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// maxControlConns bounds the connections that a control listener serves.
const maxControlConns = 1024

// frameConfig sets up the agent's end of a connection.
func (a *Agent) frameConfig() frame.Config {
	return frame.Config{
		Local: wire.Hello{
			Role:        wire.RoleAgent,
			Name:        a.cfg.Name,
			Incarnation: a.cfg.Incarnation,
			Address:     a.cfg.ControlAddress,
		},
		Key:    a.cfg.Key,
		Handle: a.handle,
	}
}

// Serve accepts the connections of leads on l until the listener is closed.
func (a *Agent) Serve(l net.Listener) {
	frame.Serve(l, maxControlConns, a.frameConfig(), func(c *frame.Conn) {
		a.cfg.Log.Debug().Str("peer", c.Peer().Name).Msg("control_accepted")
	})
}

// handle answers one message of an entry or of the lead of a gang.
func (a *Agent) handle(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.RunRequest:
		return a.serveRun(ctx, c.Peer().Name, m)
	case *wire.StartGang:
		return a.serveGang(ctx, c.Peer().Name, m)
	case *wire.Hold:
		return a.serveHold(c.Peer().Name, m)
	case *wire.FreeHold:
		return a.serveFree(m)
	case *wire.PrepareMember:
		return a.servePark(c, m)
	case *wire.ReleaseMember:
		return a.serveRelease(m)
	case *wire.RenewMember:
		return a.serveRenew(ctx, m)
	case *wire.StopMember:
		return a.serveStop(m)
	case *wire.FetchResult:
		return a.serveFetch(ctx, m)
	case *wire.CancelRequest:
		return a.serveCancel(ctx, m)
	case *wire.Homes:
		a.setHomes(m)
		return &wire.Ack{OK: true}
	case *wire.Peers:
		a.addLinks(m.Entries, false)
		return &wire.Ack{OK: true}
	case *wire.DrainWorker:
		a.startDrain()
		return &wire.Ack{OK: true}
	default:
		c.Close()
		return nil
	}
}

// startDrain takes the worker out of service on an operator's order. What runs
// goes on.
func (a *Agent) startDrain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.updateService()
	a.notify(true)
	a.cfg.Log.Info().Str("worker", a.cfg.Name).Msg("drain_ordered")
}

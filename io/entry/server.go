package entry

import (
	"cmp"
	"context"
	"net"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// maxConns is the limit of connections to the control listener.
const maxConns = 1024

// frameConfig configures the agent's end of a connection.
func (a *Agent) frameConfig() frame.Config {
	return frame.Config{
		Local: wire.Hello{
			Role:        wire.RoleAgent,
			Name:        a.cfg.Name,
			Incarnation: a.cfg.Incarnation,
			Address:     a.cfg.ControlAddress,
		},
		Key:       a.cfg.Key,
		Handle:    a.handle,
		OnRefused: a.cfg.OnRefused, MaxHandshakes: a.cfg.MaxHandshakes,
		Log: a.cfg.Log,
	}
}

// Serve accepts the connections of gang leads on l until the listener is closed.
func (a *Agent) Serve(l net.Listener) {
	frame.Serve(l, min(cmp.Or(a.cfg.MaxConns, maxConns), maxConns), a.frameConfig(), func(c *frame.Conn) {
		a.cfg.Log.Debug().Str("peer", c.Peer().Name).Msg("control_accepted")
	})
}

// handle handles one message from an entry or a gang lead and returns the reply.
func (a *Agent) handle(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.RunRequest:
		return a.serveRun(ctx, c.Peer().Name, m)
	case *wire.StartGang:
		return a.serveGang(ctx, c.Peer().Name, m)
	case *wire.Hold:
		return a.serveHold(c.Peer().Name, m)
	case *wire.FreeHold:
		return a.serveFreeHold(m)
	case *wire.PrepareMember:
		return a.servePrepare(c, m)
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

// startDrain makes the worker refuse new tasks on an operator's order. Running
// tasks continue.
func (a *Agent) startDrain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.updateAccepting()
	a.triggerReports(true)
	a.cfg.Log.Info().Str("worker", a.cfg.Name).Msg("drain_ordered")
}

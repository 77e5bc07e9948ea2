// Package agent implements the entry's side of the control connections. It
// accepts connections from the agents, passes on their reports and sends the
// entry's calls to them. The same listener serves the other entries, which
// exchange the configuration and the time since each worker was last seen, and
// fetch and cancel requests that this entry has accepted. The agent's side is
// package entry.
package agent

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// maxConns is the limit of control connections to one entry.
const maxConns = 16384

// NotConnectedError reports that a worker's agent is not connected, so that
// nothing was sent.
type NotConnectedError struct {
	Worker string
}

// Error names the worker.
func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("agent: no connection to %s", e.Worker)
}

// Config configures a Pool.
type Config struct {
	Local             wire.Hello
	Key               []byte
	Log               zerolog.Logger
	HandleReport      func(r *wire.Report) wire.Message
	HandleDisconnect  func(worker string)
	HandleConfigQuery func(m *wire.ConfigQuery) wire.Message
	HandleFetch       func(ctx context.Context, m *wire.FetchResult) wire.Message
	HandleCancel      func(ctx context.Context, m *wire.CancelRequest) wire.Message
	EntryAddresses    func() []netip.AddrPort // sent to each agent that connects
	MaxConns          int                     // 0 means maxConns
	MaxHandshakes     int                     // 0 for the default of package frame
	OnRefused         func(cause string)      // called for each refused connection; may be nil
}

// agentConn is the connection to one worker's agent and the agent's control
// address.
type agentConn struct {
	conn    *frame.Conn
	address netip.AddrPort
}

// Pool holds the connections to the agents, at most one for each worker.
type Pool struct {
	cfg  Config
	done chan struct{}

	mu        sync.Mutex
	byWorker  map[string]agentConn
	byAddress map[netip.AddrPort]string
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:       cfg,
		done:      make(chan struct{}),
		byWorker:  make(map[string]agentConn),
		byAddress: make(map[netip.AddrPort]string),
	}
}

// Done returns a channel that is closed when Serve has returned.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Serve accepts connections on l until the listener is closed.
func (p *Pool) Serve(l net.Listener) {
	defer close(p.done)
	frame.Serve(l, min(cmp.Or(p.cfg.MaxConns, maxConns), maxConns), p.frameConfig(), p.onAccept)
}

// frameConfig configures the entry's end of a connection.
func (p *Pool) frameConfig() frame.Config {
	return frame.Config{Local: p.cfg.Local, Key: p.cfg.Key, Handle: p.handle, OnRefused: p.cfg.OnRefused, MaxHandshakes: p.cfg.MaxHandshakes, Log: p.cfg.Log}
}

func (p *Pool) onAccept(c *frame.Conn) {
	if c.Peer().Role != wire.RoleAgent {
		return
	}
	_ = c.Send(&wire.Peers{Entries: p.cfg.EntryAddresses()})
	go func() {
		<-c.Done()
		p.remove(c)
	}()
}

func (p *Pool) handle(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Report:
		if m.Worker != c.Peer().Name {
			c.Close()
			return nil
		}
		p.add(c, m)
		return p.cfg.HandleReport(m)
	case *wire.ConfigQuery:
		return p.cfg.HandleConfigQuery(m)
	case *wire.FetchResult:
		return p.cfg.HandleFetch(ctx, m)
	case *wire.CancelRequest:
		return p.cfg.HandleCancel(ctx, m)
	default:
		c.Close()
		return nil
	}
}

// add makes c the worker's connection, unless a newer incarnation of the agent
// is connected.
func (p *Pool) add(c *frame.Conn, r *wire.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.byWorker[r.Worker]
	if ok && old.conn == c {
		return
	}
	if ok && old.conn.Peer().Incarnation > r.Incarnation {
		return
	}
	p.byWorker[r.Worker] = agentConn{conn: c, address: r.Address}
	p.byAddress[r.Address] = r.Worker
	p.cfg.Log.Info().
		Str("worker", r.Worker).
		Str("zone", r.Zone).
		Str("rack", r.Rack).
		Uint64("incarnation", r.Incarnation).
		Msg("agent_connected")
}

// remove deletes a closed connection, unless a newer one has replaced it.
func (p *Pool) remove(c *frame.Conn) {
	name := c.Peer().Name
	p.mu.Lock()
	cur, ok := p.byWorker[name]
	if !ok || cur.conn != c {
		p.mu.Unlock()
		return
	}
	delete(p.byWorker, name)
	if p.byAddress[cur.address] == name {
		delete(p.byAddress, cur.address)
	}
	p.mu.Unlock()
	p.cfg.Log.Warn().Str("worker", name).Msg("agent_disconnected")
	p.cfg.HandleDisconnect(name)
}

// Call sends a message to a worker's agent and waits for the reply. It returns
// a *NotConnectedError or a *frame.ClosedError, among others.
func (p *Pool) Call(ctx context.Context, worker string, m wire.Message) (wire.Message, error) {
	p.mu.Lock()
	cur, ok := p.byWorker[worker]
	p.mu.Unlock()
	if !ok {
		return nil, &NotConnectedError{Worker: worker}
	}
	return cur.conn.Call(ctx, m)
}

// WorkerAt returns the worker whose agent has the given control address.
func (p *Pool) WorkerAt(addr netip.AddrPort) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, ok := p.byAddress[addr]
	return name, ok
}

// Incarnation returns the incarnation of a worker's connected agent.
func (p *Pool) Incarnation(worker string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cur, ok := p.byWorker[worker]
	if !ok {
		return 0, false
	}
	return cur.conn.Peer().Incarnation, true
}

// Members returns the given workers with their control addresses, as members of
// a gang. It fails if one of them is not connected.
func (p *Pool) Members(workers []string) ([]wire.Member, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := make([]wire.Member, len(workers))
	for i, name := range workers {
		cur, ok := p.byWorker[name]
		if !ok {
			return nil, &NotConnectedError{Worker: name}
		}
		members[i] = wire.Member{Worker: name, Address: cur.address}
	}
	return members, nil
}

// Workers returns the names of the connected workers.
func (p *Pool) Workers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.byWorker))
	for name := range p.byWorker {
		names = append(names, name)
	}
	return names
}

// Broadcast sends each connected agent the message that f returns for its
// worker, unless it is nil. It does not wait until the messages are written.
func (p *Pool) Broadcast(f func(worker string) wire.Message) {
	p.mu.Lock()
	conns := make(map[string]*frame.Conn, len(p.byWorker))
	for name, cur := range p.byWorker {
		conns[name] = cur.conn
	}
	p.mu.Unlock()
	for name, c := range conns {
		if m := f(name); m != nil {
			// An agent that does not read must not delay the others.
			go func() { _ = c.Send(m) }()
		}
	}
}

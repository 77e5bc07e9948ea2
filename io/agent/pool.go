// Package agent is the entry's side of the control connections: it accepts the
// agents, hands on their reports and carries the entry's calls to them. The
// entries exchange configuration and views of the fleet over the same
// listener.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rs/zerolog"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// maxConns bounds the control connections of one entry.
const maxConns = 16384

// NotConnectedError tells that there is no connection to a worker's agent, so
// nothing was sent.
type NotConnectedError struct {
	Worker string
}

// Error describes the missing connection.
func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("agent: no connection to %s", e.Worker)
}

// Config sets up a Pool.
type Config struct {
	Local             wire.Hello
	Key               []byte
	Log               zerolog.Logger
	HandleReport      func(r *wire.Report) wire.Message
	HandleDisconnect  func(worker string)
	HandleConfigQuery func(m *wire.ConfigQuery) wire.Message
	HandleFetch       func(ctx context.Context, m *wire.FetchResult) wire.Message
	HandleCancel      func(ctx context.Context, m *wire.CancelRequest) wire.Message
	EntryAddresses    func() []netip.AddrPort
}

// peer is the connection to one worker's agent.
type peer struct {
	conn    *frame.Conn
	address netip.AddrPort
}

// Pool holds the connections to the agents.
type Pool struct {
	cfg  Config
	done chan struct{}

	mu        sync.Mutex
	byWorker  map[string]peer
	byAddress map[netip.AddrPort]string
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:       cfg,
		done:      make(chan struct{}),
		byWorker:  make(map[string]peer),
		byAddress: make(map[netip.AddrPort]string),
	}
}

// Done is closed when Serve has returned.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Serve accepts connections until the listener is closed.
func (p *Pool) Serve(l net.Listener) {
	defer close(p.done)
	frame.Serve(l, maxConns, p.frameConfig(), p.accepted)
}

// frameConfig sets up the entry's end of a connection.
func (p *Pool) frameConfig() frame.Config {
	return frame.Config{Local: p.cfg.Local, Key: p.cfg.Key, Handle: p.handle}
}

func (p *Pool) accepted(c *frame.Conn) {
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

// add makes c the worker's connection, unless a younger incarnation of the
// agent is connected.
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
	p.byWorker[r.Worker] = peer{conn: c, address: r.Address}
	p.byAddress[r.Address] = r.Worker
	p.cfg.Log.Info().
		Str("worker", r.Worker).
		Str("zone", r.Zone).
		Str("rack", r.Rack).
		Uint64("incarnation", r.Incarnation).
		Msg("agent_connected")
}

// remove forgets a connection that has ended.
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

// Call sends a message to a worker's agent and waits for the reply. Errors:
// *NotConnectedError, *frame.ClosedError.
func (p *Pool) Call(ctx context.Context, worker string, m wire.Message) (wire.Message, error) {
	p.mu.Lock()
	cur, ok := p.byWorker[worker]
	p.mu.Unlock()
	if !ok {
		return nil, &NotConnectedError{Worker: worker}
	}
	return cur.conn.Call(ctx, m)
}

// WorkerAt returns the worker whose agent has the control address.
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

// Members returns the workers with their control addresses, for a gang.
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

// Broadcast sends each connected agent the message that f makes for its worker; a
// nil message is not sent.
func (p *Pool) Broadcast(f func(worker string) wire.Message) {
	p.mu.Lock()
	conns := make(map[string]*frame.Conn, len(p.byWorker))
	for name, cur := range p.byWorker {
		conns[name] = cur.conn
	}
	p.mu.Unlock()
	for name, c := range conns {
		if m := f(name); m != nil {
			// A peer that does not read must not delay the others.
			go func() { _ = c.Send(m) }()
		}
	}
}

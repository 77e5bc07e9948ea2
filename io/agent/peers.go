package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

const peerCallTimeout = time.Second

// Peers holds the connections to the other entries. It dials on demand.
type Peers struct {
	cfg frame.Config

	mu    sync.Mutex
	conns map[netip.AddrPort]*frame.Conn
}

// NewPeers returns a Peers that dials with the pool's hello and key.
func (p *Pool) NewPeers() *Peers {
	return &Peers{cfg: p.frameConfig(), conns: make(map[netip.AddrPort]*frame.Conn)}
}

// Close closes the connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

// Call sends a message to another entry and waits for the reply.
func (p *Peers) Call(ctx context.Context, addr netip.AddrPort, m wire.Message) (wire.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.Call(ctx, m)
}

func (p *Peers) connect(ctx context.Context, addr netip.AddrPort) (*frame.Conn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil && !c.Closed() {
		return c, nil
	}
	c, err := frame.Dial(ctx, addr, p.cfg)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.conns[addr]; old != nil {
		old.Close()
	}
	p.conns[addr] = c
	return c, nil
}

// AddressOf returns the address of the connected entry with the given name.
func (p *Peers) AddressOf(name string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if !c.Closed() && c.Peer().Name == name {
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

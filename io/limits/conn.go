package limits

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase int32

const (
	phaseHeader  phase = iota // the next request's header
	phaseBody                 // the rest of the body
	phaseServing              // the handler
	phaseWriting              // the client, which reads the response
)

const (
	peerFraction = 0.75     // of a listener's connections, for one peer address
	freeHeader   = 8 << 10  // bytes of a header that connCost includes
	headerStep   = 16 << 10 // bytes that a longer header acquires at a time

	// lingerTime and lingerBytes limit what is read of a body after its refusal.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10

	// slowWrite is the time after which a write that the client does not read makes
	// way for a new connection.
	slowWrite = 2 * time.Second

	// deadlineStep is the precision of write deadlines. They are not set more often,
	// to save the processor time.
	deadlineStep = time.Second
)

// listener is a net.Listener with a limit on connections, in total and for one peer
// address. Beyond a limit, the connection that has waited for its client for longest
// is closed in favor of the new one.
type listener struct {
	net.Listener
	limiter *Limiter
	max     int
	maxPeer int

	mu    sync.Mutex
	conns map[*conn]struct{}
	peers map[netip.Addr]int
}

func (l *Limiter) newListener(ln net.Listener, name string, share Share) *listener {
	n := max(int(float64(share)*float64(l.httpConns)), 1)
	b := &listener{
		Listener: ln, limiter: l, max: n, maxPeer: max(int(peerFraction*float64(n)), 1),
		conns: make(map[*conn]struct{}), peers: make(map[netip.Addr]int),
	}
	l.metrics.addLimit("connections_"+name, int64(n), func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(len(b.conns))
	})
	return b
}

// Accept waits for the next connection that is within the limits.
func (b *listener) Accept() (net.Conn, error) {
	for {
		nc, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: b, peer: peerAddr(nc)}
		c.setPhase(phaseHeader)
		if b.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

func peerAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// add admits a connection. It reports false if the limits are reached and no other
// connection can be closed.
func (b *listener) add(c *conn) bool {
	b.mu.Lock()
	var victim *conn
	cause := ""
	switch {
	case len(b.conns) >= b.max:
		victim, cause = b.slowest(netip.Addr{}), "connections"
	case b.peers[c.peer] >= b.maxPeer:
		victim, cause = b.slowest(c.peer), "peer_connections"
	}
	admitted := cause == "" || victim != nil
	if victim != nil {
		b.remove(victim)
	}
	if admitted {
		b.conns[c] = struct{}{}
		b.peers[c.peer]++
	}
	b.mu.Unlock()
	if cause != "" {
		b.limiter.Refused(cause)
	}
	if victim != nil {
		_ = victim.closeNow()
	}
	return admitted
}

// slowest returns the connection of a peer that has waited for its client for longest,
// or nil if none waits. An invalid peer stands for all peers. The caller holds mu.
func (b *listener) slowest(peer netip.Addr) *conn {
	var victim *conn
	oldest := time.Now().UnixNano()
	for c := range b.conns {
		since := c.since.Load()
		switch phase(c.phase.Load()) {
		case phaseServing:
			continue
		case phaseWriting:
			since += int64(slowWrite)
		}
		if since < oldest && (!peer.IsValid() || c.peer == peer) {
			victim, oldest = c, since
		}
	}
	return victim
}

// remove forgets a connection. The caller holds mu.
func (b *listener) remove(c *conn) {
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	if b.peers[c.peer]--; b.peers[c.peer] <= 0 {
		delete(b.peers, c.peer)
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *listener
	peer     netip.Addr
	phase    atomic.Int32
	since    atomic.Int64 // start of the phase, in Unix nanoseconds

	abandoned atomic.Bool // closed without the body having been read whole

	// Used by the goroutine that serves the connection.
	headerBytes int
	headerHeld  int       // bytes that the lease of the header has acquired
	deadline    time.Time // of writes
	unread      bool      // the request's body has not been read whole

	mu     sync.Mutex
	header *lease // of a long header
	body   *lease // of the current request; nil if it has none
	closed bool
}

type connKey struct{}

// connOf returns the connection of a request, or nil if no Limiter serves it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func (c *conn) setPhase(p phase) {
	c.since.Store(time.Now().UnixNano())
	c.phase.Store(int32(p))
}

func connStateChanged(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	if s == http.StateIdle {
		c.headerBytes = 0
		c.setHeader(nil)
		c.setPhase(phaseHeader)
	}
}

// Read reads from the connection. What a header takes beyond freeHeader is acquired
// from the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if phase(c.phase.Load()) != phaseHeader {
		return n, err
	}
	if c.headerBytes += n; c.headerBytes > freeHeader && !c.growHeader() {
		c.listener.limiter.Refused("header_budget")
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// growHeader acquires the bytes of a long header. It reports whether it succeeded.
func (c *conn) growHeader() bool {
	c.mu.Lock()
	l := c.header
	c.mu.Unlock()
	if l == nil {
		c.headerHeld = 0
		l = c.listener.limiter.budget.open()
		l.await(c.interruptRead)
		if !c.setHeader(l) {
			return false
		}
	}
	for ; c.headerHeld < c.headerBytes-freeHeader; c.headerHeld += headerStep {
		if !l.grow(growthFactor * headerStep) {
			return false
		}
	}
	return true
}

// completeHeader marks the header as complete. It reports false if the request has
// been refused in favor of others.
func (c *conn) completeHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header == nil || c.header.complete()
}

// interruptRead ends a blocked read, and all later ones.
func (c *conn) interruptRead() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// setHeader replaces the lease of the header. It reports false if the connection has
// been closed.
func (c *conn) setHeader(l *lease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.header != nil {
		c.header.close()
	}
	c.header = l
	if l != nil && c.closed {
		l.close()
		c.header = nil
	}
	return !c.closed
}

// Write writes to the connection. A client that does not read fails the write after
// writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if now.Sub(c.deadline) > deadlineStep {
		c.deadline = now
		if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	before, since := c.phase.Load(), c.since.Load()
	c.since.Store(now.UnixNano())
	c.phase.Store(int32(phaseWriting))
	n, err := c.Conn.Write(p)
	c.since.Store(since)
	c.phase.Store(before)
	return n, err
}

// Close closes the connection and releases what its header holds.
func (c *conn) Close() error {
	if c.abandoned.CompareAndSwap(true, false) {
		c.linger()
	}
	return c.closeNow()
}

func (c *conn) closeNow() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	header := c.header
	c.header = nil
	c.mu.Unlock()
	if header != nil {
		header.close()
	}
	return c.Conn.Close()
}

// abandonBody keeps the server from waiting for a body that the handler has not read
// whole. Before it closes the connection, net/http reads up to 256 KiB.
func (c *conn) abandonBody() {
	if c.unread {
		c.interruptRead()
		c.abandoned.Store(true)
	}
}

// linger ends the responses and reads for a short time what the client still sends.
// Data that nobody has read would make the kernel reset the connection, and the client
// could lose the response.
func (c *conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	c.setPhase(phaseBody)
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	var buf [1 << 10]byte
	for n := 0; n < lingerBytes; {
		m, err := tcp.Read(buf[:])
		if err != nil {
			return
		}
		n += m
	}
}

// endRequest releases what the current request holds.
func (c *conn) endRequest() {
	c.mu.Lock()
	body := c.body
	c.body = nil
	c.mu.Unlock()
	if body != nil {
		body.close()
	}
}

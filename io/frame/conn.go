// Package frame carries wire messages over TCP.
//
// A frame is a 14-byte header and a msgpack body. The header holds, in big
// endian, the body's length (4 bytes), the kind (1), the flags (1) and the
// correlation id (8). A frame of kind 0 is a keep-alive and has no body.
package frame

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bramleythread/io/wire"
)

// Limits of a connection.
const (
	MaxBodySize       = 16 << 20 // bytes
	MaxInFlight       = 4096     // messages that wait for a handler's reply
	HandshakeTimeout  = 2 * time.Second
	ReadTimeout       = 2500 * time.Millisecond
	WriteTimeout      = 2 * time.Second
	KeepAliveInterval = 200 * time.Millisecond

	quiescePoll = 5 * time.Millisecond

	headerSize    = 14
	readBuffer    = 64 << 10 // bytes
	keptBuffer    = 1 << 20  // bytes; a larger buffer is not kept for reuse
	handshakeBody = 4 << 10  // bytes
)

const flagReply = 1

// LimitError tells of a frame or a peer that exceeds a limit.
type LimitError struct {
	Quantity string
	Value    int
	Limit    int
}

// Error describes the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("frame: %s is %d, limit %d", e.Quantity, e.Value, e.Limit)
}

// ClosedError tells that the connection ended. Sent is false only if no byte
// of the message left this process.
type ClosedError struct {
	Peer  string
	Sent  bool
	Cause error
}

// Error describes the end of the connection.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("frame: connection to %s closed (sent=%t): %v", e.Peer, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// Config sets up one end of a connection.
type Config struct {
	Local  wire.Hello // what this process says of itself
	Key    []byte     // the shared key of the control connections
	Handle func(ctx context.Context, c *Conn, m wire.Message) wire.Message

	// IdleTimeout ends a connection on which nothing arrives, not even a
	// keep-alive, for so long; ReadTimeout if it is 0.
	IdleTimeout time.Duration
}

// Conn is one authenticated connection. Its methods may be called from any
// goroutine.
type Conn struct {
	cfg     Config
	nc      net.Conn
	r       *bufio.Reader
	peer    wire.Hello
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	ids     atomic.Uint64
	active  atomic.Int64
	written atomic.Int64 // time of the last write, in Unix nanoseconds

	writeMu sync.Mutex
	out     []byte

	mu    sync.Mutex
	calls map[uint64]chan wire.Message
	cause error
	once  sync.Once
	wg    sync.WaitGroup
}

func newConn(nc net.Conn, cfg Config) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		cfg:    cfg,
		nc:     nc,
		r:      bufio.NewReaderSize(nc, readBuffer),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		calls:  make(map[uint64]chan wire.Message),
	}
}

// Dial connects to addr and runs the handshake.
func Dial(ctx context.Context, addr netip.AddrPort, cfg Config) (*Conn, error) {
	d := net.Dialer{Timeout: HandshakeTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := newConn(nc, cfg)
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	if err := c.dialHandshake(); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c.start()
	return c, nil
}

// Accept runs the handshake on a connection that a listener accepted.
func Accept(nc net.Conn, cfg Config) (*Conn, error) {
	c := newConn(nc, cfg)
	if err := c.acceptHandshake(); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c.start()
	return c, nil
}

// Peer returns what the other end said of itself.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Done is closed when the connection has ended and its goroutines have too.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection. It does not wait for the handlers.
func (c *Conn) Close() { c.fail(net.ErrClosed) }

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool { return c.ctx.Err() != nil }

// WaitForHandlers waits until no handler is at work, at most for the given time.
func (c *Conn) WaitForHandlers(limit time.Duration) {
	for end := time.Now().Add(limit); c.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(quiescePoll)
	}
}

// Send writes a message that wants no reply.
func (c *Conn) Send(m wire.Message) error {
	return c.write(m, 0, 0)
}

// Call writes a message and waits for its reply.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	id := c.ids.Add(1)
	ch := make(chan wire.Message, 1)
	if err := c.expect(id, ch); err != nil {
		return nil, err
	}
	defer c.forget(id)
	if err := c.write(m, id, 0); err != nil {
		return nil, err
	}
	select {
	case reply := <-ch:
		return reply, nil
	case <-c.ctx.Done():
		return c.lastReply(ch)
	case <-ctx.Done():
		return nil, &ClosedError{Peer: c.peer.Name, Sent: true, Cause: ctx.Err()}
	}
}

// lastReply returns a reply that arrived just before the connection ended.
func (c *Conn) lastReply(ch chan wire.Message) (wire.Message, error) {
	select {
	case reply := <-ch:
		return reply, nil
	default:
		return nil, &ClosedError{Peer: c.peer.Name, Sent: true, Cause: c.closeCause()}
	}
}

func (c *Conn) expect(id uint64, ch chan wire.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return &ClosedError{Peer: c.peer.Name, Cause: c.cause}
	}
	c.calls[id] = ch
	return nil
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
}

func (c *Conn) closeCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

func (c *Conn) start() {
	c.wg.Add(2)
	go c.readLoop()
	go c.keepAlive()
	go func() {
		c.wg.Wait()
		close(c.done)
	}()
}

func (c *Conn) fail(err error) {
	c.once.Do(func() {
		c.mu.Lock()
		c.cause = err
		c.mu.Unlock()
		c.cancel()
		_ = c.nc.Close()
	})
}

func (c *Conn) readLoop() {
	defer c.wg.Done()
	var buf []byte
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(cmp.Or(c.cfg.IdleTimeout, ReadTimeout))); err != nil {
			c.fail(err)
			return
		}
		h, err := readHeader(c.r, MaxBodySize)
		if err != nil {
			c.fail(err)
			return
		}
		buf, err = c.readBody(h, buf)
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// readBody reads and dispatches one frame and returns the buffer for reuse.
func (c *Conn) readBody(h header, buf []byte) ([]byte, error) {
	if h.kind == 0 {
		return buf, nil
	}
	m, buf, err := decodeBody(c.r, h, buf)
	if err != nil {
		return buf, err
	}
	if h.flags&flagReply != 0 {
		c.deliver(h.id, m)
		return buf, nil
	}
	return buf, c.dispatch(h.id, m)
}

func (c *Conn) deliver(id uint64, m wire.Message) {
	c.mu.Lock()
	ch := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}

func (c *Conn) dispatch(id uint64, m wire.Message) error {
	if n := c.active.Add(1); n > MaxInFlight {
		return &LimitError{Quantity: "messages in flight", Value: int(n), Limit: MaxInFlight}
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer c.active.Add(-1)
		reply := c.cfg.Handle(c.ctx, c, m)
		if reply == nil || id == 0 {
			return
		}
		if err := c.write(reply, id, flagReply); err != nil {
			c.fail(err)
		}
	}()
	return nil
}

func (c *Conn) keepAlive() {
	defer c.wg.Done()
	t := time.NewTicker(KeepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-t.C:
			if now.UnixNano()-c.written.Load() < int64(KeepAliveInterval) {
				continue
			}
			if err := c.writeFrame(0, 0, 0, nil); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

func (c *Conn) write(m wire.Message, id uint64, flags byte) error {
	if n := m.Msgsize(); n > MaxBodySize {
		return &LimitError{Quantity: "message size", Value: n, Limit: MaxBodySize}
	}
	err := c.writeFrame(m.Kind(), flags, id, m)
	if err != nil {
		c.fail(err)
	}
	return err
}

func (c *Conn) writeFrame(k wire.Kind, flags byte, id uint64, m wire.Message) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if cause := c.closeCause(); cause != nil {
		return &ClosedError{Peer: c.peer.Name, Cause: cause}
	}
	var err error
	c.out, err = appendFrame(c.out[:0], k, flags, id, m)
	if err != nil {
		return err
	}
	now := time.Now()
	_ = c.nc.SetWriteDeadline(now.Add(WriteTimeout))
	c.written.Store(now.UnixNano())
	_, err = c.nc.Write(c.out)
	if cap(c.out) > keptBuffer {
		c.out = nil
	}
	if err != nil {
		return &ClosedError{Peer: c.peer.Name, Sent: true, Cause: err}
	}
	return nil
}

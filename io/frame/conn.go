// Package frame carries wire messages over TCP.
//
// A frame is a 14-byte header and a msgpack body. The header holds, in big
// endian, the body's length (4 bytes), the kind (1), the flags (1) and the
// correlation id (8). A frame of kind 0 is a keep-alive and has no body.
package frame

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bramleythread/io/wire"
)

// Limits of a connection.
const (
	MaxBodySize       = 16 << 20 // bytes
	MaxInFlight       = 4096     // messages whose handler has not returned
	HandshakeTimeout  = 2 * time.Second
	ReadTimeout       = 2500 * time.Millisecond
	WriteTimeout      = 2 * time.Second // without any byte taken by the peer
	KeepAliveInterval = 200 * time.Millisecond

	handlerPollInterval = 5 * time.Millisecond

	headerSize       = 14       // bytes
	readBufferSize   = 64 << 10 // bytes
	handshakeBuffer  = 1 << 10  // bytes; a peer that has not authenticated gets no more
	bodyStep         = 64 << 10 // bytes of a frame's body for which memory is allocated at first
	writeStep        = 64 << 10 // bytes that are written under one deadline
	maxReusedBuffer  = 1 << 20  // bytes; a larger buffer is not reused
	maxHandshakeBody = 4 << 10  // bytes
)

const flagReply = 1 // header flag of a frame that holds a reply

// LimitError reports a frame or a peer that exceeds a limit.
type LimitError struct {
	Quantity string
	Value    int
	Limit    int
}

// Error names the exceeded limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("frame: %s is %d, limit %d", e.Quantity, e.Value, e.Limit)
}

// ClosedError reports that a message or its reply was lost because the
// connection or the call ended. Sent is false only if no byte of the message
// left this process.
type ClosedError struct {
	Peer  string
	Sent  bool
	Cause error
}

// Error names the peer and the cause.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("frame: connection to %s closed (sent=%t): %v", e.Peer, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// HandlerPanicError reports that the handler of a message panicked.
type HandlerPanicError struct {
	Kind  wire.Kind
	Value any
}

// Error names the kind of the message.
func (e *HandlerPanicError) Error() string {
	return fmt.Sprintf("frame: handler of message kind %d panicked: %v", e.Kind, e.Value)
}

// Config configures one end of a connection.
type Config struct {
	Local wire.Hello // sent to the peer in the handshake
	Key   []byte     // shared key that authenticates both ends

	// Handle is called for each message that is not a reply, in a goroutine of
	// its own. It returns the reply, or nil to send none.
	Handle func(ctx context.Context, c *Conn, m wire.Message) wire.Message

	// IdleTimeout is the time in which no byte arrives, keep-alives included, after
	// which the connection is closed. If it is 0, ReadTimeout applies. A frame may
	// take longer.
	IdleTimeout time.Duration

	// MaxHandshakes is the number of connections that may be in their handshake at a
	// listener. If it is 0, the constant MaxHandshakes applies.
	MaxHandshakes int

	// OnRefused is called with a cause for each connection that Serve closes because a
	// limit is reached. It may be nil, and must not block.
	OnRefused func(cause string)

	Log zerolog.Logger // receives panics of Handle
}

// Conn is an authenticated connection. It is safe for concurrent use.
type Conn struct {
	cfg            Config
	nc             net.Conn
	r              *bufio.Reader
	peer           wire.Hello
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan struct{}
	lastID         atomic.Uint64
	activeHandlers atomic.Int64
	lastWrite      atomic.Int64 // time of the last write, in Unix nanoseconds

	writeMu  sync.Mutex
	writeBuf []byte

	mu        sync.Mutex
	pending   map[uint64]chan wire.Message // calls without a reply, by correlation id
	closeErr  error
	closeOnce sync.Once
	wg        sync.WaitGroup
}

func newConn(nc net.Conn, cfg Config) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		cfg:     cfg,
		nc:      nc,
		r:       bufio.NewReaderSize(nc, handshakeBuffer),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		pending: make(map[uint64]chan wire.Message),
	}
}

// Dial connects to addr and performs the handshake.
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
	c.startLoops()
	return c, nil
}

// Accept performs the handshake on a connection that a listener accepted.
func Accept(nc net.Conn, cfg Config) (*Conn, error) {
	c := newConn(nc, cfg)
	if err := c.acceptHandshake(); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c.startLoops()
	return c, nil
}

// Peer returns the peer's hello message.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Done returns a channel that is closed when the connection and its goroutines
// have ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection. It does not wait for the handlers.
func (c *Conn) Close() { c.closeWith(net.ErrClosed) }

// Closed reports whether the connection has been closed.
func (c *Conn) Closed() bool { return c.ctx.Err() != nil }

// WaitForHandlers waits until no handler runs, or until the limit has passed.
func (c *Conn) WaitForHandlers(limit time.Duration) {
	for end := time.Now().Add(limit); c.activeHandlers.Load() > 0 && time.Now().Before(end); {
		time.Sleep(handlerPollInterval)
	}
}

// Send writes a message without waiting for a reply.
func (c *Conn) Send(m wire.Message) error {
	return c.writeMessage(m, 0, 0)
}

// Call writes a message and waits for its reply.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	id := c.lastID.Add(1)
	ch := make(chan wire.Message, 1)
	if err := c.addPending(id, ch); err != nil {
		return nil, err
	}
	defer c.removePending(id)
	if err := c.writeMessage(m, id, 0); err != nil {
		return nil, err
	}
	select {
	case reply := <-ch:
		return reply, nil
	case <-c.ctx.Done():
		return c.replyOrCloseError(ch)
	case <-ctx.Done():
		return nil, &ClosedError{Peer: c.peer.Name, Sent: true, Cause: ctx.Err()}
	}
}

// replyOrCloseError returns the reply if it arrived just before the connection
// ended, and a *ClosedError otherwise.
func (c *Conn) replyOrCloseError(ch chan wire.Message) (wire.Message, error) {
	select {
	case reply := <-ch:
		return reply, nil
	default:
		return nil, &ClosedError{Peer: c.peer.Name, Sent: true, Cause: c.closeCause()}
	}
}

func (c *Conn) addPending(id uint64, ch chan wire.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return &ClosedError{Peer: c.peer.Name, Cause: c.closeErr}
	}
	c.pending[id] = ch
	return nil
}

func (c *Conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *Conn) closeCause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr
}

func (c *Conn) startLoops() {
	buffered, _ := c.r.Peek(c.r.Buffered()) // what has followed the handshake
	rest := &idleReader{nc: c.nc, timeout: cmp.Or(c.cfg.IdleTimeout, ReadTimeout)}
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), rest), readBufferSize)
	c.wg.Add(2)
	go c.readLoop()
	go c.keepAliveLoop()
	go func() {
		c.wg.Wait()
		close(c.done)
	}()
}

func (c *Conn) closeWith(err error) {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.closeErr = err
		c.mu.Unlock()
		c.cancel()
		_ = c.nc.Close()
	})
}

func (c *Conn) readLoop() {
	defer c.wg.Done()
	var buf []byte
	for {
		h, err := readHeader(c.r, MaxBodySize)
		if err != nil {
			c.closeWith(err)
			return
		}
		buf, err = c.readFrame(h, buf)
		if err != nil {
			c.closeWith(err)
			return
		}
	}
}

// readFrame reads the body of a frame and dispatches its message. It returns
// the buffer for reuse.
func (c *Conn) readFrame(h header, buf []byte) ([]byte, error) {
	if h.kind == 0 {
		return buf, nil
	}
	m, buf, err := decodeBody(c.r, h, buf)
	if err != nil {
		return buf, err
	}
	if h.flags&flagReply != 0 {
		c.deliverReply(h.id, m)
		return buf, nil
	}
	return buf, c.startHandler(h.id, m)
}

func (c *Conn) deliverReply(id uint64, m wire.Message) {
	c.mu.Lock()
	ch := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}

func (c *Conn) startHandler(id uint64, m wire.Message) error {
	if n := c.activeHandlers.Add(1); n > MaxInFlight {
		return &LimitError{Quantity: "messages in flight", Value: int(n), Limit: MaxInFlight}
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer c.activeHandlers.Add(-1)
		defer c.closeOnPanic(m)
		reply := c.cfg.Handle(c.ctx, c, m)
		if reply == nil || id == 0 {
			return
		}
		if err := c.writeMessage(reply, id, flagReply); err != nil {
			c.closeWith(err)
		}
	}()
	return nil
}

// closeOnPanic recovers from a panic of the handler and closes the connection, so
// that a message that cannot be handled affects its sender only.
func (c *Conn) closeOnPanic(m wire.Message) {
	v := recover()
	if v == nil {
		return
	}
	c.cfg.Log.Error().Str("peer", c.peer.Name).Int("kind", int(m.Kind())).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("handler_panic")
	c.closeWith(&HandlerPanicError{Kind: m.Kind(), Value: v})
}

func (c *Conn) keepAliveLoop() {
	defer c.wg.Done()
	t := time.NewTicker(KeepAliveInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-t.C:
			if now.UnixNano()-c.lastWrite.Load() < int64(KeepAliveInterval) {
				continue
			}
			if err := c.writeFrame(0, 0, 0, nil); err != nil {
				c.closeWith(err)
				return
			}
		}
	}
}

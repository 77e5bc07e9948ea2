package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Timing of connections to the scheduler.
const (
	// linkIdleTimeout closes a connection to or from the scheduler on which
	// nothing arrives for four keep-alive intervals.
	linkIdleTimeout = 4 * frame.KeepAliveInterval

	// linkDialTimeout limits a connection attempt including the handshake. It
	// allows many round trips between zones, and bounds the wait for a lease
	// holder whose machine is powered off.
	linkDialTimeout = 500 * time.Millisecond

	// reconnectDelay is the delay between two connections, shortened by up to
	// half by jitter. It avoids a tight loop against a scheduler that rejects
	// connections.
	reconnectDelay = 100 * time.Millisecond

	// firstLeaseTimeout limits the wait for the lease before the last known
	// holder is dialed. It allows for one response of a store that is 100 times
	// slower than usual.
	firstLeaseTimeout = 600 * time.Millisecond
)

// Link keeps a process connected to the current scheduler.
type Link struct {
	cfg       LinkConfig
	conn      chan *frame.Conn         // holds the open connection, if any
	lease     wire.SchedulerLease      // latest known lease; used by Run only
	offers    chan struct{}            // the scheduler asked to be replaced
	takeovers chan wire.SchedulerLease // leases of successors, as reported by the former scheduler
}

// LinkConfig configures a link.
type LinkConfig struct {
	Local  wire.Hello
	Store  platform.Store
	Handle func(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message
	Log    zerolog.Logger
}

// NewLink returns a disconnected link.
func NewLink(cfg LinkConfig) *Link {
	return &Link{cfg: cfg, conn: make(chan *frame.Conn, 1), offers: make(chan struct{}, 1), takeovers: make(chan wire.SchedulerLease, 1)}
}

// Conn returns the open connection, or nil.
func (l *Link) Conn() *frame.Conn {
	select {
	case c := <-l.conn:
		l.conn <- c
		if c.Closed() {
			return nil
		}
		return c
	default:
		return nil
	}
}

func (l *Link) set(c *frame.Conn) {
	select {
	case <-l.conn:
	default:
	}
	l.conn <- c
}

// dial connects to the holder of a lease.
func (l *Link) dial(ctx context.Context, lease wire.SchedulerLease) (*frame.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	c, err := frame.Dial(ctx, lease.Address, frame.Config{
		Local: l.cfg.Local, Key: lease.Key, Handle: l.handle, IdleTimeout: linkIdleTimeout, Log: l.cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	l.set(c)
	l.cfg.Log.Info().Str("scheduler", lease.Holder).Uint64("epoch", lease.Epoch).Msg("scheduler_linked")
	return c, nil
}

func (l *Link) handle(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message {
	switch v := m.(type) {
	case *wire.LeaseOffer:
		select {
		case l.offers <- struct{}{}:
		default:
		}
	case *wire.LeaseTaken:
		select {
		case l.takeovers <- v.Lease:
		default:
		}
	}
	return l.cfg.Handle(ctx, c, m)
}

// Run keeps the link connected until ctx ends and calls connected with each
// new connection.
func (l *Link) Run(ctx context.Context, connected func(c *frame.Conn)) {
	for ctx.Err() == nil {
		c := l.connect(ctx)
		if c == nil {
			return
		}
		connected(c)
		l.waitUntilObsolete(ctx, c)
		c.Close()
		<-c.Done()
		l.cfg.Log.Warn().Str("scheduler", l.lease.Holder).Uint64("epoch", l.lease.Epoch).Msg("scheduler_lost")
		_ = sleep(ctx, jitter(reconnectDelay))
	}
}

// connect dials the lease holder, or its successor, until one accepts. It
// returns nil when ctx ends.
func (l *Link) connect(ctx context.Context) *frame.Conn {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leases := l.watchLease(ctx)
	l.readFirstLease(ctx, leases)
	for {
		c, next := l.dialHolder(ctx, leases)
		if c != nil {
			return c
		}
		if next == nil {
			if next = l.awaitOtherLease(ctx, leases); next == nil && ctx.Err() != nil {
				return nil
			}
		}
		if next != nil {
			l.lease = *next
		}
	}
}

// readFirstLease waits for the lease as the store has it now. A former holder
// that is still running answers sooner than the store, but rejects every
// connection.
func (l *Link) readFirstLease(ctx context.Context, leases <-chan wire.SchedulerLease) {
	t := time.NewTimer(firstLeaseTimeout)
	defer t.Stop()
	select {
	case l.lease = <-leases:
	case <-t.C: // the store does not answer, but the known holder may
	case <-ctx.Done():
	}
}

// awaitOtherLease waits for a short time for a lease other than the known one.
func (l *Link) awaitOtherLease(ctx context.Context, leases <-chan wire.SchedulerLease) *wire.SchedulerLease {
	t := time.NewTimer(jitter(pollUnlinked))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			return nil
		case next := <-leases:
			if !sameTerm(next, l.lease) {
				return &next
			}
		}
	}
}

// sameTerm reports whether two versions of the lease belong to the same holder
// in the same epoch, and it has released both or neither.
func sameTerm(a, b wire.SchedulerLease) bool { return a.Epoch == b.Epoch && a.Released == b.Released }

// dialHolder dials the holder of the known lease. It gives up as soon as
// another lease appears, which it returns.
func (l *Link) dialHolder(ctx context.Context, leases <-chan wire.SchedulerLease) (*frame.Conn, *wire.SchedulerLease) {
	if !l.lease.Address.IsValid() || l.lease.Released {
		return nil, nil
	}
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialed := make(chan *frame.Conn, 1)
	go func(lease wire.SchedulerLease) {
		c, err := l.dial(dialCtx, lease)
		if err != nil {
			l.cfg.Log.Debug().Err(err).Msg("scheduler_not_reached")
		}
		dialed <- c
	}(l.lease)
	for {
		select {
		case c := <-dialed:
			return c, nil
		case next := <-leases:
			if sameTerm(next, l.lease) {
				continue
			}
			cancel()
			if c := <-dialed; c != nil {
				c.Close()
			}
			return nil, &next
		}
	}
}

// waitUntilObsolete waits until a connection has ended, or until another
// process has become the scheduler after the connected one asked to be
// replaced.
func (l *Link) waitUntilObsolete(ctx context.Context, c *frame.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case next := <-l.takeovers:
			if l.adoptNewer(next) {
				return
			}
		case <-l.offers:
			if l.awaitSuccessor(ctx, c) {
				return
			}
		}
	}
}

// adoptNewer adopts a lease if it is newer than the known one, and reports
// whether it is.
func (l *Link) adoptNewer(next wire.SchedulerLease) bool {
	if next.Epoch <= l.lease.Epoch {
		return false
	}
	l.lease = next
	return true
}

// awaitSuccessor watches the lease. It returns false if the holder has renewed
// it, and true if the holder has lost or released it or the connection has
// ended.
func (l *Link) awaitSuccessor(ctx context.Context, c *frame.Conn) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leases := l.watchLease(ctx)
	var first *wire.SchedulerLease
	for {
		select {
		case <-ctx.Done():
			return true
		case <-c.Done():
			return true
		case next := <-l.takeovers:
			if l.adoptNewer(next) {
				return true
			}
		case seen := <-leases:
			switch {
			case seen.Epoch > l.lease.Epoch || seen.Released:
				l.lease = seen
				return true
			case first == nil:
				first = &seen
			case seen.Sequence != first.Sequence:
				return false
			}
		}
	}
}

// watchLease returns a channel of the lease and its changes until ctx ends. It
// yields nothing while the store does not answer.
func (l *Link) watchLease(ctx context.Context) <-chan wire.SchedulerLease {
	leases := make(chan wire.SchedulerLease)
	go func() {
		var after uint64
		for ctx.Err() == nil {
			lease, revision, err := l.nextLease(ctx, after)
			after = revision
			if err != nil || revision == 0 {
				_ = sleep(ctx, jitter(pollUnlinked))
				continue
			}
			if lease != nil {
				select {
				case leases <- *lease:
				case <-ctx.Done():
				}
			}
			_ = sleep(ctx, jitter(reconnectDelay)) // a busy holder rewrites the lease continuously
		}
	}()
	return leases
}

// leasePollWait limits a long poll for a change of the lease.
const leasePollWait = time.Second

// nextLease returns the current lease if after is 0. Otherwise it returns the
// lease once it has changed since that revision, or nil if it has not changed
// within leasePollWait. It also returns the revision to continue from, or 0 to
// start over.
func (l *Link) nextLease(ctx context.Context, after uint64) (*wire.SchedulerLease, uint64, error) {
	ctx, cancel := platform.WithIdleTimeout(ctx, leasePollWait+commitTimeout, commitTimeout)
	defer cancel()
	if after == 0 {
		lease, revision, err := readLease(ctx, l.cfg.Store)
		return &lease, revision, l.ignoreMalformed(err)
	}
	changes, err := l.cfg.Store.Watch(ctx, TableScheduler, after, leasePollWait)
	if err != nil {
		return nil, 0, err
	}
	for _, row := range slices.Backward(changes.Rows) {
		if row.Key == leaseKey && !row.Deleted {
			lease, err := decodeLease(row)
			return &lease, changes.Revision, l.ignoreMalformed(err)
		}
	}
	return nil, changes.Revision, nil
}

// ignoreMalformed logs a MalformedLeaseError and returns nil for it. The lease that
// takes the place of such a row names no holder, so that the link waits for the
// next one.
func (l *Link) ignoreMalformed(err error) error {
	var malformed *MalformedLeaseError
	if errors.As(err, &malformed) {
		l.cfg.Log.Error().Err(err).Msg("lease_not_read")
		return nil
	}
	return err
}

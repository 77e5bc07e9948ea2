package scheduler

import (
	"context"
	"slices"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Times of a link.
const (
	// linkSilence ends a connection to or from the scheduler on which nothing
	// arrives: four keep-alives.
	linkSilence = 4 * frame.KeepAliveInterval

	// linkDial bounds a connection attempt with its handshake: many round
	// trips between zones. The holder of the lease may be a machine without
	// power.
	linkDial = 500 * time.Millisecond

	// linkPause is the least time between two connections, so that a
	// scheduler that turns links away is not called in a tight loop.
	linkPause = 100 * time.Millisecond

	// firstLook bounds the wait for the lease before the holder that is known
	// is dialled: an answer of a store that is slow a hundred times.
	firstLook = 600 * time.Millisecond
)

// Link keeps a process connected to whoever is the scheduler.
type Link struct {
	cfg    LinkConfig
	conn   chan *frame.Conn // holds the open connection, if there is one
	lease  wire.SchedulerLease
	offers chan struct{}            // the scheduler asks to be replaced
	taken  chan wire.SchedulerLease // it tells who has replaced it
}

// LinkConfig sets up a link.
type LinkConfig struct {
	Local  wire.Hello
	Store  platform.Store
	Handle func(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message
	Log    zerolog.Logger
}

// NewLink returns a link that is not connected.
func NewLink(cfg LinkConfig) *Link {
	return &Link{cfg: cfg, conn: make(chan *frame.Conn, 1), offers: make(chan struct{}, 1), taken: make(chan wire.SchedulerLease, 1)}
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
	ctx, cancel := context.WithTimeout(ctx, linkDial)
	defer cancel()
	c, err := frame.Dial(ctx, lease.Address, frame.Config{
		Local: l.cfg.Local, Key: lease.Key, Handle: l.handle, IdleTimeout: linkSilence,
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
		case l.taken <- v.Lease:
		default:
		}
	}
	return l.cfg.Handle(ctx, c, m)
}

// Run keeps the link up until ctx ends. connected is called with each new
// connection.
func (l *Link) Run(ctx context.Context, connected func(c *frame.Conn)) {
	for ctx.Err() == nil {
		c := l.connect(ctx)
		if c == nil {
			return
		}
		connected(c)
		l.keep(ctx, c)
		c.Close()
		<-c.Done()
		l.cfg.Log.Warn().Str("scheduler", l.lease.Holder).Uint64("epoch", l.lease.Epoch).Msg("scheduler_lost")
		_ = sleep(ctx, jitter(linkPause))
	}
}

// connect dials the holder of the lease until it answers, or whoever takes the
// lease from it. It returns nil when ctx ends.
func (l *Link) connect(ctx context.Context) *frame.Conn {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leases := l.followLease(ctx)
	l.firstLease(ctx, leases)
	for {
		c, next := l.tryHolder(ctx, leases)
		if c != nil {
			return c
		}
		if next == nil {
			if next = l.waitLease(ctx, leases); next == nil && ctx.Err() != nil {
				return nil
			}
		}
		if next != nil {
			l.lease = *next
		}
	}
}

// firstLease takes in the lease as the store has it now. A former holder that is
// still up answers sooner than the store, and turns every link away.
func (l *Link) firstLease(ctx context.Context, leases <-chan wire.SchedulerLease) {
	t := time.NewTimer(firstLook)
	defer t.Stop()
	select {
	case l.lease = <-leases:
	case <-t.C: // the store does not answer; the known holder may
	case <-ctx.Done():
	}
}

// waitLease waits a moment for another lease than the one that is known.
func (l *Link) waitLease(ctx context.Context, leases <-chan wire.SchedulerLease) *wire.SchedulerLease {
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

// sameTerm reports whether two versions of the lease are of the same holder in
// the same epoch.
func sameTerm(a, b wire.SchedulerLease) bool { return a.Epoch == b.Epoch && a.Released == b.Released }

// tryHolder dials the holder of the known lease. It gives up as soon as another
// lease shows, which it returns.
func (l *Link) tryHolder(ctx context.Context, leases <-chan wire.SchedulerLease) (*frame.Conn, *wire.SchedulerLease) {
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

// keep waits until a connection is of no use any more: it has ended, or another
// process has become the scheduler after this one has asked to be replaced.
func (l *Link) keep(ctx context.Context, c *frame.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case next := <-l.taken:
			if l.follow(next) {
				return
			}
		case <-l.offers:
			if l.replaced(ctx, c) {
				return
			}
		}
	}
}

// follow takes in a newer lease than the known one.
func (l *Link) follow(next wire.SchedulerLease) bool {
	if next.Epoch <= l.lease.Epoch {
		return false
	}
	l.lease = next
	return true
}

// replaced follows the lease until its holder has written it again, which
// returns false, or has lost it.
func (l *Link) replaced(ctx context.Context, c *frame.Conn) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leases := l.followLease(ctx)
	var first *wire.SchedulerLease
	for {
		select {
		case <-ctx.Done():
			return true
		case <-c.Done():
			return true
		case next := <-l.taken:
			if l.follow(next) {
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

// followLease returns the lease and each change of it until ctx ends. While the
// store does not answer nothing comes.
func (l *Link) followLease(ctx context.Context) <-chan wire.SchedulerLease {
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
			_ = sleep(ctx, jitter(linkPause)) // a busy holder changes it all the time
		}
	}()
	return leases
}

// leaseWait bounds a long poll for a change of the lease.
const leaseWait = time.Second

// nextLease returns the lease as it is if after is 0, and else the lease once it
// has changed since that revision, or nil after some time. It returns the
// revision to go on from, 0 to begin anew.
func (l *Link) nextLease(ctx context.Context, after uint64) (*wire.SchedulerLease, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseWait+commitTimeout)
	defer cancel()
	if after == 0 {
		lease, revision, err := readLease(ctx, l.cfg.Store)
		return &lease, revision, err
	}
	changes, err := l.cfg.Store.Watch(ctx, TableScheduler, after, leaseWait)
	if err != nil {
		return nil, 0, err
	}
	for _, row := range slices.Backward(changes.Rows) {
		if row.Key == leaseKey && !row.Deleted {
			lease, err := decodeLease(row)
			return &lease, changes.Revision, err
		}
	}
	return nil, changes.Revision, nil
}

package scheduler

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Config sets up a candidate.
type Config struct {
	Node    string
	Address netip.AddrPort // of Listener, as agents and other entries reach it
	Store   platform.Store
	Log     zerolog.Logger
	Engine  job.Config
	Metrics *Metrics

	// Advise asks the operators' service which workers may run a step; it
	// returns tickets by the workers' instances. nil if there is no service.
	Advise func(ctx context.Context, q job.AdviceRequest) (map[string]string, error)

	// Guarantees returns the accelerators that customers are guaranteed.
	Guarantees func() map[string]int
}

// Candidate is an entry that becomes the scheduler when there is none.
type Candidate struct {
	cfg  Config
	key  []byte
	link *Link

	mu      sync.Mutex
	holder  *holder // while this process is the scheduler
	told    renewal
	known   wire.SchedulerLease // of the successor, as it has told itself
	offered uint64              // epoch whose holder has asked to be replaced
	offers  chan struct{}

	stop     context.CancelFunc
	done     chan struct{}
	served   chan struct{}
	listener net.Listener
}

// Start starts a candidate whose agents and entries connect to l.
func Start(cfg Config, l net.Listener) *Candidate {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Candidate{
		cfg: cfg, key: newKey(), stop: cancel,
		offers: make(chan struct{}, 1),
		done:   make(chan struct{}), served: make(chan struct{}), listener: l,
	}
	c.link = NewLink(LinkConfig{
		Local:  wire.Hello{Role: wire.RoleEntry, Name: cfg.Node, Address: cfg.Address},
		Store:  cfg.Store,
		Handle: c.hear,
		Log:    cfg.Log,
	})
	go func() {
		defer close(c.served)
		frame.Serve(l, maxLinks, frame.Config{
			Local:       wire.Hello{Role: wire.RoleEntry, Name: cfg.Node, Address: cfg.Address},
			Key:         c.key,
			Handle:      c.handle,
			IdleTimeout: linkSilence,
		}, c.accepted)
	}()
	go c.run(ctx)
	return c
}

// maxLinks bounds the connections to a scheduler.
const maxLinks = 2048

// Close stops the candidate. A holder gives its lease up first.
func (c *Candidate) Close() {
	c.stop()
	<-c.done
	_ = c.listener.Close()
	<-c.served
}

// Done is closed when the candidate has stopped.
func (c *Candidate) Done() <-chan struct{} { return c.done }

func (c *Candidate) current() *holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}

func (c *Candidate) accepted(conn *frame.Conn) {
	h := c.current()
	if h == nil || !h.confirmed() {
		conn.Close()
		return
	}
	h.join(conn)
}

func (c *Candidate) handle(ctx context.Context, conn *frame.Conn, m wire.Message) wire.Message {
	h := c.current()
	if h == nil {
		conn.Close()
		return nil
	}
	return h.handle(ctx, conn, m)
}

// hear takes in a message of the scheduler.
func (c *Candidate) hear(_ context.Context, _ *frame.Conn, m wire.Message) wire.Message {
	if v, ok := m.(*wire.LeaseTaken); ok {
		c.succeeded(v.Lease)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch v := m.(type) {
	case *wire.LeaseRenewed:
		c.told = renewal{LeaseRenewed: *v, at: time.Now()}
	case *wire.LeaseOffer:
		c.offered = max(c.offered, v.Epoch)
		select {
		case c.offers <- struct{}{}:
		default:
		}
	}
	return nil
}

// renewal is the newest write of the lease that its holder has told of.
type renewal struct {
	wire.LeaseRenewed
	at time.Time
}

// toldAt returns when the holder has told of the very write that made a lease.
func (c *Candidate) toldAt(l wire.SchedulerLease) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told.at, c.told.Epoch == l.Epoch && c.told.Sequence == l.Sequence
}

// refuseOffer forgets that a holder has asked to be replaced: this process does
// not reach the store either.
func (c *Candidate) refuseOffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered = 0
}

func (c *Candidate) isOffered(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offered >= max(epoch, 1)
}

// watch is what a candidate has seen of the lease.
type watch struct {
	lease    wire.SchedulerLease
	revision uint64
	since    time.Time // when this revision was first seen
	failed   bool      // its holder could not be reached since
	unread   time.Time // when the lease could last not be read
}

// run follows the lease, takes it when it is free and holds it.
func (c *Candidate) run(ctx context.Context) {
	defer close(c.done)
	var seen watch
	for ctx.Err() == nil {
		c.step(ctx, &seen)
	}
	if conn := c.link.Conn(); conn != nil {
		conn.Close()
	}
}

func (c *Candidate) step(ctx context.Context, seen *watch) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	lease, revision, err := readLease(callCtx, c.cfg.Store)
	cancel()
	if err != nil {
		seen.unread = time.Now() // the holder may have been as far from the store
		seen.since = seen.unread
		c.refuseOffer()
		c.joinSuccessor(ctx)
		_ = sleep(ctx, jitter(pollUnlinked))
		return
	}
	now := time.Now()
	if revision != seen.revision || seen.since.IsZero() {
		*seen = watch{lease: lease, revision: revision, since: now, unread: seen.unread}
		if at, ok := c.toldAt(lease); ok && at.After(seen.unread) {
			seen.since = at
		}
	}
	free := revision == 0 || lease.Released || lease.Holder == c.cfg.Node || c.isOffered(lease.Epoch)
	limit := staleLimit
	if c.link.Conn() == nil {
		limit = lostLimit
	}
	if free || now.Sub(seen.since) >= limit {
		c.take(ctx, *seen, free)
		seen.since = time.Time{}
		return
	}
	if c.link.Conn() == nil && !seen.failed {
		if _, err := c.link.dial(ctx, lease); err != nil {
			c.cfg.Log.Debug().Err(err).Msg("scheduler_not_reached")
			seen.failed = true
		}
	}
	c.waitLinked(ctx)
}

// succeeded notes who has taken the lease from this process.
func (c *Candidate) succeeded(l wire.SchedulerLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Epoch > c.known.Epoch {
		c.known = l
	}
}

// joinSuccessor links to the process that has taken the lease from this one: the
// store cannot be asked who it is.
func (c *Candidate) joinSuccessor(ctx context.Context) {
	c.mu.Lock()
	lease := c.known
	c.mu.Unlock()
	if lease.Epoch == 0 || c.link.Conn() != nil {
		return
	}
	if _, err := c.link.dial(ctx, lease); err != nil {
		c.cfg.Log.Debug().Err(err).Msg("scheduler_not_reached")
	}
}

// waitLinked waits until the lease is to be read again: soon if the link ends.
func (c *Candidate) waitLinked(ctx context.Context) {
	conn := c.link.Conn()
	if conn == nil {
		_ = sleep(ctx, jitter(pollUnlinked))
		return
	}
	t := time.NewTimer(pollLinked)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-c.offers:
	case <-conn.Done():
		_ = sleep(ctx, jitter(linkPause))
	}
}

// take claims the lease and holds it until it is lost or given up.
func (c *Candidate) take(ctx context.Context, seen watch, free bool) {
	w := &writer{store: c.cfg.Store, lease: wire.SchedulerLease{Holder: c.cfg.Node, Address: c.cfg.Address, Key: c.key}}
	if err := w.claim(ctx, seen.lease, seen.revision); err != nil {
		c.cfg.Log.Info().Err(err).Msg("lease_not_taken")
		return
	}
	c.cfg.Log.Info().Uint64("epoch", w.lease.Epoch).Str("former", seen.lease.Holder).Bool("free", free).Dur("unchanged", unchanged(seen)).Msg("lease_taken")
	if conn := c.link.Conn(); conn != nil {
		if err := conn.Send(&wire.LeaseTaken{Lease: w.lease}); err != nil {
			c.cfg.Log.Debug().Err(err).Msg("message_not_sent")
		}
		conn.Close()
	}
	h := newHolder(c.cfg, w)
	err := h.load(ctx)
	if err == nil {
		c.set(h)
		err = h.run(ctx)
		c.set(nil)
	}
	h.retire()
	var deposed *LeaseLostError
	if !errors.As(err, &deposed) {
		h.giveUp()
	}
	h.close()
	c.succeeded(h.successor())
	c.cfg.Log.Info().Uint64("epoch", w.lease.Epoch).Err(err).Msg("lease_ended")
}

// unchanged returns for how long the lease has been seen as it is.
func unchanged(seen watch) time.Duration {
	if seen.since.IsZero() {
		return 0
	}
	return time.Since(seen.since)
}

func (c *Candidate) set(h *holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = h
}

// NoSchedulerError tells that no scheduler can be asked now.
type NoSchedulerError struct{}

// Error describes the error.
func (e *NoSchedulerError) Error() string { return "scheduler: none is linked" }

// Call asks the scheduler, which may be this process.
func (c *Candidate) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	if h := c.current(); h != nil {
		return h.handle(ctx, nil, m), nil
	}
	conn := c.link.Conn()
	if conn == nil {
		return nil, &NoSchedulerError{}
	}
	return conn.Call(ctx, m)
}

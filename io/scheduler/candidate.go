package scheduler

import (
	"cmp"
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

// Config configures a candidate.
type Config struct {
	Node    string
	Address netip.AddrPort // of the listener, as reachable from agents and other entries
	Store   platform.Store
	Log     zerolog.Logger
	Engine  job.Config
	Metrics *Metrics

	// CancelLimit is the time within which a stored cancellation must take
	// effect. If it is 0, there is no such limit.
	CancelLimit time.Duration

	// Advise asks the operators' advice service which workers may run a
	// step. It returns a ticket for each allowed worker, by the worker's
	// instance. It is nil if there is no such service.
	Advise func(ctx context.Context, q job.AdviceRequest) (map[string]string, error)

	// MaxLinks limits the connections of agents and entries, maxLinks if it is 0.
	// OnRefused is called with a cause for each that is refused; it may be nil.
	MaxLinks      int
	MaxHandshakes int // 0 for the default of package frame
	OnRefused     func(cause string)

	// BootTime measures the time since the VM's boot. If it is nil,
	// platform.BootTime does.
	BootTime func() time.Duration

	// Guarantees returns the number of accelerators guaranteed to each
	// customer.
	Guarantees func() map[string]int

	// Evacuation returns the evacuated zones as this process knows them. If it
	// is nil, there are none.
	Evacuation func() job.Evacuation
}

// Candidate is an entry that takes the scheduler's lease when it is free.
type Candidate struct {
	cfg  Config
	key  []byte // authenticates connections to this process; part of its lease
	link *Link

	mu           sync.Mutex
	holder       *holder // non-nil while this process is the scheduler
	lastRenewal  renewal
	successor    wire.SchedulerLease // latest lease reported by a scheduler that lost its own
	offeredEpoch uint64              // epoch whose holder asked to be replaced
	offers       chan struct{}

	resigned context.Context // ends when this process must no longer be the scheduler
	resign   context.CancelFunc
	stop     context.CancelFunc
	done     chan struct{}
	served   chan struct{}
	listener net.Listener
}

// Start starts a candidate that accepts agents and entries on l.
func Start(cfg Config, l net.Listener) *Candidate {
	if cfg.BootTime == nil {
		cfg.BootTime = platform.BootTime
	}
	if cfg.Evacuation == nil {
		cfg.Evacuation = func() job.Evacuation { return job.Evacuation{Read: true} }
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Candidate{
		cfg: cfg, key: newKey(), stop: cancel,
		offers: make(chan struct{}, 1),
		done:   make(chan struct{}), served: make(chan struct{}), listener: l,
	}
	c.resigned, c.resign = context.WithCancel(ctx)
	c.link = NewLink(LinkConfig{
		Local:  wire.Hello{Role: wire.RoleEntry, Name: cfg.Node, Address: cfg.Address},
		Store:  cfg.Store,
		Handle: c.handleSchedulerMessage,
		Log:    cfg.Log,
	})
	go func() {
		defer close(c.served)
		frame.Serve(l, min(cmp.Or(cfg.MaxLinks, maxLinks), maxLinks), frame.Config{
			Local:         wire.Hello{Role: wire.RoleEntry, Name: cfg.Node, Address: cfg.Address},
			Key:           c.key,
			Handle:        c.handle,
			IdleTimeout:   linkIdleTimeout,
			OnRefused:     cfg.OnRefused,
			MaxHandshakes: cfg.MaxHandshakes,
			Log:           cfg.Log,
		}, c.acceptConn)
	}()
	go c.run(ctx)
	return c
}

// maxLinks limits the connections to a scheduler.
const maxLinks = 2048

// Resign makes the candidate release the lease, if it holds it, and not take it
// again. Call still reaches the scheduler, which is then another process, until
// Close is called.
func (c *Candidate) Resign() { c.resign() }

// Close stops the candidate. If it is the scheduler, it releases the lease
// first.
func (c *Candidate) Close() {
	c.stop()
	<-c.done
	_ = c.listener.Close()
	<-c.served
}

// Done returns a channel that is closed when the candidate has stopped.
func (c *Candidate) Done() <-chan struct{} { return c.done }

func (c *Candidate) current() *holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}

func (c *Candidate) acceptConn(conn *frame.Conn) {
	h := c.current()
	if h == nil || !h.confirmedRecently() {
		conn.Close()
		return
	}
	h.addConn(conn)
}

func (c *Candidate) handle(ctx context.Context, conn *frame.Conn, m wire.Message) wire.Message {
	h := c.current()
	if h == nil {
		conn.Close()
		return nil
	}
	return h.handle(ctx, conn, m)
}

// handleSchedulerMessage handles a message from the scheduler.
func (c *Candidate) handleSchedulerMessage(_ context.Context, _ *frame.Conn, m wire.Message) wire.Message {
	if v, ok := m.(*wire.LeaseTaken); ok {
		c.setSuccessor(v.Lease)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch v := m.(type) {
	case *wire.LeaseRenewed:
		c.lastRenewal = renewal{LeaseRenewed: *v, at: time.Now()}
	case *wire.LeaseOffer:
		c.offeredEpoch = max(c.offeredEpoch, v.Epoch)
		select {
		case c.offers <- struct{}{}:
		default:
		}
	}
	return nil
}

// renewal is the last commit of the lease that its holder announced.
type renewal struct {
	wire.LeaseRenewed
	at time.Time
}

// renewedAt returns when the holder announced the commit of exactly this
// version of the lease.
func (c *Candidate) renewedAt(l wire.SchedulerLease) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRenewal.at, c.lastRenewal.Epoch == l.Epoch && c.lastRenewal.Sequence == l.Sequence
}

// clearOffer discards the holder's request to be replaced, because this
// process cannot reach the store either.
func (c *Candidate) clearOffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offeredEpoch = 0
}

func (c *Candidate) isOffered(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offeredEpoch >= max(epoch, 1)
}

// observation is the state of the lease as last read by a candidate.
type observation struct {
	lease          wire.SchedulerLease
	revision       uint64
	unchangedSince time.Time // when this revision was first read
	dialFailed     bool      // dialing its holder has failed since
	readFailedAt   time.Time // last failed read of the lease
}

// run polls the lease, takes it when it is free, and acts as the scheduler
// while it holds it.
func (c *Candidate) run(ctx context.Context) {
	defer close(c.done)
	var seen observation
	for ctx.Err() == nil {
		c.step(ctx, &seen)
	}
	if conn := c.link.Conn(); conn != nil {
		conn.Close()
	}
}

// step reads the lease once. Then it takes the lease, dials its holder, or waits
// until the next read is due.
func (c *Candidate) step(ctx context.Context, seen *observation) {
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	lease, revision, err := readLease(callCtx, c.cfg.Store)
	cancel()
	var malformed *MalformedLeaseError
	if errors.As(err, &malformed) {
		c.cfg.Log.Error().Err(err).Msg("lease_not_read")
		err = nil
	}
	if err != nil {
		seen.readFailedAt = time.Now() // the holder may have been cut off from the store too
		seen.unchangedSince = seen.readFailedAt
		c.clearOffer()
		c.dialSuccessor(ctx)
		_ = sleep(ctx, jitter(pollUnlinked))
		return
	}
	now := time.Now()
	if revision != seen.revision || seen.unchangedSince.IsZero() {
		*seen = observation{lease: lease, revision: revision, unchangedSince: now, readFailedAt: seen.readFailedAt}
		if at, ok := c.renewedAt(lease); ok && at.After(seen.readFailedAt) {
			seen.unchangedSince = at
		}
	}
	free := revision == 0 || lease.Released || lease.Holder == c.cfg.Node || c.isOffered(lease.Epoch)
	switch {
	case c.mayTake(*seen, free, now):
		c.takeLease(ctx, *seen, free)
		seen.unchangedSince = time.Time{}
		return
	case !lease.Released && lease.Holder != c.cfg.Node:
		c.dialHolder(ctx, seen)
	}
	c.waitNextRead(ctx)
}

// mayTake reports whether this process may take the lease, which is free or has
// not been renewed for long enough.
func (c *Candidate) mayTake(seen observation, free bool, now time.Time) bool {
	limit := takeOverAfter
	if c.link.Conn() == nil {
		limit = takeOverUnreachable
	}
	return c.resigned.Err() == nil && (free || now.Sub(seen.unchangedSince) >= limit)
}

// dialHolder connects to the holder of the lease unless an attempt has failed
// since the lease was last renewed.
func (c *Candidate) dialHolder(ctx context.Context, seen *observation) {
	if c.link.Conn() != nil || seen.dialFailed {
		return
	}
	if _, err := c.link.dial(ctx, seen.lease); err != nil {
		c.cfg.Log.Debug().Err(err).Msg("scheduler_not_reached")
		seen.dialFailed = true
	}
}

// setSuccessor records a newer lease reported by a scheduler that lost its
// own.
func (c *Candidate) setSuccessor(l wire.SchedulerLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Epoch > c.successor.Epoch {
		c.successor = l
	}
}

// dialSuccessor connects to the reported successor of the scheduler. It is used
// while the store, which names the current holder, cannot be read.
func (c *Candidate) dialSuccessor(ctx context.Context) {
	c.mu.Lock()
	lease := c.successor
	c.mu.Unlock()
	if lease.Epoch == 0 || c.link.Conn() != nil {
		return
	}
	if _, err := c.link.dial(ctx, lease); err != nil {
		c.cfg.Log.Debug().Err(err).Msg("scheduler_not_reached")
	}
}

// waitNextRead waits until the next read of the lease is due, which is soon
// after the connection to the scheduler ends.
func (c *Candidate) waitNextRead(ctx context.Context) {
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
		_ = sleep(ctx, jitter(reconnectDelay))
	}
}

// takeLease claims the lease and acts as the scheduler until the lease is lost
// or released.
func (c *Candidate) takeLease(ctx context.Context, seen observation, free bool) {
	w := &writer{store: c.cfg.Store, bootTime: c.cfg.BootTime, lease: wire.SchedulerLease{Holder: c.cfg.Node, Address: c.cfg.Address, Key: c.key}}
	if err := w.claim(ctx, seen.lease, seen.revision); err != nil {
		c.cfg.Log.Info().Err(err).Msg("lease_not_taken")
		return
	}
	c.cfg.Log.Info().Uint64("epoch", w.lease.Epoch).Str("former", seen.lease.Holder).Bool("free", free).Dur("unchanged", unchangedFor(seen)).Msg("lease_taken")
	if conn := c.link.Conn(); conn != nil {
		if err := conn.Send(&wire.LeaseTaken{Lease: w.lease}); err != nil {
			c.cfg.Log.Debug().Err(err).Msg("message_not_sent")
		}
		conn.Close()
	}
	h := newHolder(c.cfg, w)
	err := c.serveTerm(c.resigned, h)
	h.rejectSubmissions()
	var lost *LeaseLostError
	if !errors.As(err, &lost) {
		h.releaseLease()
	}
	h.close()
	c.setSuccessor(h.successor())
	c.cfg.Log.Info().Uint64("epoch", w.lease.Epoch).Err(err).Msg("lease_ended")
	var panicked *PanicError
	var idle *platform.IdleError
	switch {
	case errors.As(err, &panicked):
		_ = sleep(ctx, panicPause)
	case errors.As(err, &idle):
		_ = sleep(ctx, jitter(loadRetryDelay))
	}
}

// serveTerm acts as the scheduler until the term ends. A panic ends the term only.
func (c *Candidate) serveTerm(ctx context.Context, h *holder) (err error) {
	defer func() {
		c.setHolder(nil)
		if failure := h.termFailure(); failure != nil {
			err = failure
		}
	}()
	c.setHolder(h)
	if err := h.load(ctx); err != nil {
		return err
	}
	return h.run(ctx)
}

// unchangedFor returns how long the lease has been read unchanged.
func unchangedFor(seen observation) time.Duration {
	if seen.unchangedSince.IsZero() {
		return 0
	}
	return time.Since(seen.unchangedSince)
}

func (c *Candidate) setHolder(h *holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = h
}

// NoSchedulerError means that no scheduler is connected.
type NoSchedulerError struct{}

// Error implements the error interface.
func (e *NoSchedulerError) Error() string { return "scheduler: none is linked" }

// Call sends a request to the scheduler, which may be this process, and
// returns its response.
func (c *Candidate) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	if h := c.current(); h != nil {
		if h.isLoading() {
			return nil, &NoSchedulerError{}
		}
		return h.handle(ctx, nil, m), nil
	}
	conn := c.link.Conn()
	if conn == nil {
		return nil, &NoSchedulerError{}
	}
	return conn.Call(ctx, m)
}

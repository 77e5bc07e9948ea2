package scheduler

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Times of the holder's loop.
const (
	batchDelay   = 8 * time.Millisecond // gathers what arrives together into one transaction
	tickInterval = 250 * time.Millisecond
	feedWait     = 5 * time.Second // a long poll of the store
	feedMargin   = 1500 * time.Millisecond
	releaseLimit = time.Second // to give the lease up at a stop
	tokenBits    = 20          // of connections in one epoch
	lifeBits     = 8           // left to the agent, for its worker's lifetimes
)

// holder is this process while it is the scheduler.
type holder struct {
	cfg    Config
	writer *writer
	wake   chan struct{}
	wg     sync.WaitGroup
	feed   uint64 // revision of the job table that is taken in

	mu        sync.Mutex
	engine    *job.Engine
	agents    map[string]*agentLink // by node
	links     map[*frame.Conn]struct{}
	tokens    uint64
	confirmAt time.Time
	yielding  bool // another entry is asked to take over
	closed    bool
}

// agentLink is the connection of one agent.
type agentLink struct {
	conn     *frame.Conn
	token    uint64
	sequence uint64
	granted  time.Duration
	heard    bool
	changed  chan struct{} // its orders are to be sent
}

// notify asks for the agent's orders to be sent.
func (a *agentLink) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func newHolder(cfg Config, w *writer) *holder {
	h := &holder{
		cfg:       cfg,
		writer:    w,
		wake:      make(chan struct{}, 1),
		engine:    job.New(cfg.Engine, time.Now()),
		agents:    make(map[string]*agentLink),
		links:     make(map[*frame.Conn]struct{}),
		confirmAt: w.confirmed,
	}
	w.refused = func(since time.Duration) {
		if since >= yieldRefused {
			h.yield()
		}
	}
	return h
}

// load reads what earlier schedulers have recorded.
func (h *holder) load(ctx context.Context) error {
	progress, err := h.list(ctx, TableProgress)
	if err != nil {
		return err
	}
	states := make(map[string]*wire.JobProgress)
	for _, row := range progress.Rows {
		p := new(wire.JobProgress)
		if _, err := p.UnmarshalMsg(row.Value); err != nil {
			h.cfg.Log.Error().Str("row", row.Key).Err(err).Msg("row_not_read")
			continue
		}
		states[strings.TrimPrefix(row.Key, TableProgress+"/")] = p
	}
	jobs, err := h.list(ctx, TableJob)
	if err != nil {
		return err
	}
	h.takeJobs(jobs, states)
	h.cfg.Log.Info().Uint64("epoch", h.writer.lease.Epoch).Int("rows", len(jobs.Rows)).Int("progress", len(progress.Rows)).Msg("tables_loaded")
	return nil
}

// list reads a whole table, until the store answers.
func (h *holder) list(ctx context.Context, table string) (platform.Changes, error) {
	pause := retryMin
	for {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		c, err := h.cfg.Store.Watch(callCtx, table, 0, 0)
		cancel()
		if err == nil {
			return c, nil
		}
		if err := sleep(ctx, jitter(pause)); err != nil {
			return platform.Changes{}, err
		}
		pause = min(2*pause, retryMax)
	}
}

// takeJobs takes in rows of the job table. Marks of cancelled jobs may stand
// before or after their jobs.
func (h *holder) takeJobs(c platform.Changes, states map[string]*wire.JobProgress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var cancelled []string
	for _, row := range c.Rows {
		key := strings.TrimPrefix(row.Key, TableJob+"/")
		if id, ok := strings.CutSuffix(key, CancelSuffix); ok {
			cancelled = append(cancelled, id)
			continue
		}
		if row.Deleted {
			continue
		}
		var j wire.Job
		if _, err := j.UnmarshalMsg(row.Value); err != nil {
			h.cfg.Log.Error().Str("row", row.Key).Err(err).Msg("row_not_read")
			continue
		}
		if _, _, known := h.engine.State(key); known {
			continue
		}
		h.engine.Restore(j, states[key], now)
		h.cfg.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Str("customer", j.Customer).Dur("age", now.Sub(j.Accepted)).Msg("job_taken_in")
	}
	for _, id := range cancelled {
		h.engine.Cancel(id, now)
	}
	h.feed = c.Revision
}

// run decides, writes and sends orders until the lease is lost or ctx ends.
func (h *holder) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.wg.Add(1)
	go h.follow(ctx)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-h.wake:
			_ = sleep(ctx, batchDelay)
		}
		if err := h.round(ctx); err != nil {
			return err
		}
	}
}

// round runs one tick, writes what it decided and sends the orders.
func (h *holder) round(ctx context.Context) error {
	h.mu.Lock()
	now := time.Now()
	h.engine.SetGuarantees(h.cfg.Guarantees())
	h.engine.Expire(now)
	h.engine.Tick(now)
	batch := h.engine.Flush()
	h.mu.Unlock()
	if batch != nil || now.Sub(h.writer.confirmed) >= renewInterval {
		writes, err := rows(batch)
		if err != nil {
			return err
		}
		if err := h.write(ctx, writes); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmAt != h.writer.confirmed {
		h.tellEntries(&wire.Renewed{Epoch: h.writer.lease.Epoch, Sequence: h.writer.lease.Sequence})
	}
	h.confirmAt, h.yielding = h.writer.confirmed, false
	if batch != nil {
		h.engine.Committed(batch)
	}
	for _, node := range h.engine.TakeChanged() {
		h.sendOrders(node)
	}
	return nil
}

// write writes a batch. While the store does not answer, another entry is asked
// to take over. A write that is under way at a stop gets
// some time to end, since its outcome must be known to release the lease.
func (h *holder) write(ctx context.Context, writes []platform.Write) error {
	start := time.Now()
	ctx, cancel := lingering(ctx, releaseLimit)
	defer cancel()
	t := time.AfterFunc(yieldAfter, h.yield)
	defer t.Stop()
	err := h.writer.write(ctx, writes)
	h.cfg.Metrics.observeCommit(time.Since(start), len(writes), err)
	if took := time.Since(start); took > commitTimeout {
		h.cfg.Log.Warn().Dur("took", took).Int("rows", len(writes)).Err(err).Msg("slow_commit")
	}
	return err
}

// lingering returns a context that ends some time after its parent.
func lingering(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		time.AfterFunc(limit, cancel)
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// rows encodes a batch.
func rows(b *job.Batch) ([]platform.Write, error) {
	if b == nil {
		return nil, nil
	}
	var writes []platform.Write
	for _, c := range b.Progress {
		value, err := c.Progress.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		writes = append(writes, platform.Write{Key: TableProgress + "/" + c.ID, Value: value})
	}
	for _, id := range b.Expired {
		for _, key := range []string{TableJob + "/" + id, TableProgress + "/" + id, TableJob + "/" + id + CancelSuffix} {
			writes = append(writes, platform.Write{Key: key, Delete: true})
		}
	}
	return writes, nil
}

// follow takes in what entries add to the job table.
func (h *holder) follow(ctx context.Context) {
	defer h.wg.Done()
	pause := retryMin
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
		c, err := h.cfg.Store.Watch(callCtx, TableJob, h.feed, feedWait)
		cancel()
		var lost *platform.HistoryError
		switch {
		case err == nil:
			pause = retryMin
			if len(c.Rows) > 0 {
				h.takeJobs(c, nil)
				h.poke()
			}
			h.feed = c.Revision
		case errors.As(err, &lost):
			h.cfg.Log.Warn().Uint64("after", lost.After).Msg("history_lost")
			h.feed = 0
		default:
			_ = sleep(ctx, jitter(pause))
			pause = min(2*pause, retryMax)
		}
	}
}

func (h *holder) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// confirmed reports whether the lease was written recently.
func (h *holder) confirmed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.confirmAt) <= ConfirmLimit && !h.yielding
}

// yield asks the other entries to take over and lets agents look for them. This
// process stays the scheduler until one of them has.
func (h *holder) yield() {
	h.mu.Lock()
	if h.yielding {
		h.mu.Unlock()
		return
	}
	h.yielding = true
	h.tellEntries(&wire.Yield{Epoch: h.writer.lease.Epoch})
	h.mu.Unlock()
	h.cfg.Log.Warn().Uint64("epoch", h.writer.lease.Epoch).Msg("lease_offered")
	h.dropAgents()
}

// tellEntries sends a message to the entries. One whose link is lost reads the
// lease itself.
func (h *holder) tellEntries(m wire.Message) {
	for c := range h.links {
		if c.Closed() {
			delete(h.links, c)
		} else if c.Peer().Role == wire.RoleEntry {
			if err := c.Send(m); err != nil {
				h.cfg.Log.Debug().Str("entry", c.Peer().Name).Err(err).Msg("message_not_sent")
			}
		}
	}
}

// dropAgents ends the connections of agents.
func (h *holder) dropAgents() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for node, a := range h.agents {
		a.conn.Close()
		delete(h.links, a.conn)
		delete(h.agents, node)
	}
}

// join notes a new connection of an agent or entry.
func (h *holder) join(c *frame.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		c.Close()
		return
	}
	h.links[c] = struct{}{}
	p := c.Peer()
	if p.Role != wire.RoleAgent {
		return
	}
	if old := h.agents[p.Name]; old != nil {
		old.conn.Close()
	}
	h.tokens++
	a := &agentLink{
		conn: c, token: (h.writer.lease.Epoch<<tokenBits + h.tokens) << lifeBits, changed: make(chan struct{}, 1),
	}
	h.agents[p.Name] = a
	h.engine.NewLink(p.Name)
	h.cfg.Log.Info().Str("agent", p.Name).Uint64("token", a.token).Msg("agent_linked")
	h.wg.Add(1)
	go h.deliver(p.Name, a)
	a.notify()
}

// handle takes in one message.
func (h *holder) handle(c *frame.Conn, m wire.Message) wire.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch v := m.(type) {
	case *wire.WorkerReport:
		h.takeReport(c, v)
	case *wire.JobQuery:
		queue, state, known := h.engine.State(v.ID)
		return &wire.JobAnswer{Known: known, Queue: queue, State: state}
	case *wire.QueueQuery:
		return &wire.QueueAnswer{Pending: h.engine.Pending(v.Queue)}
	}
	return nil
}

func (h *holder) takeReport(c *frame.Conn, r *wire.WorkerReport) {
	a := h.agents[r.Node]
	if a == nil || a.conn != c {
		return
	}
	if !h.engine.Report(r, time.Now()) {
		return
	}
	if time.Since(h.confirmAt) <= ConfirmLimit {
		a.granted = r.Sent
	}
	a.heard = true
	h.sendOrders(r.Node)
	h.poke()
}

// sendOrders asks for the orders of a node's agent to be sent.
func (h *holder) sendOrders(node string) {
	if a := h.agents[node]; a != nil {
		a.notify()
	}
}

// deliver sends an agent its standing orders whenever they have changed. An
// agent that does not read holds up nobody else, and gets the newest orders only.
func (h *holder) deliver(node string, a *agentLink) {
	defer h.wg.Done()
	for {
		select {
		case <-a.conn.Done():
			return
		case <-a.changed:
		}
		o, ok := h.orders(node, a)
		if !ok {
			continue
		}
		if err := a.conn.Send(&o); err != nil {
			h.cfg.Log.Debug().Str("agent", node).Err(err).Msg("orders_not_sent")
		}
	}
}

// orders returns an agent's standing orders. The first ones, before any report,
// tell it its token only.
func (h *holder) orders(node string, a *agentLink) (wire.WorkerOrders, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var o wire.WorkerOrders
	if a.heard {
		var ok bool
		if o, ok = h.engine.Orders(node); !ok {
			return o, false
		}
	}
	a.sequence++
	o.Sequence, o.Epoch, o.Token, o.Granted = a.sequence, h.writer.lease.Epoch, a.token, a.granted
	return o, true
}

// dropLinks ends all connections, so that agents and entries look for another
// scheduler.
func (h *holder) dropLinks() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.links {
		c.Close()
	}
	clear(h.links)
	clear(h.agents)
}

func (h *holder) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.dropLinks()
	h.wg.Wait()
}

// giveUp releases the lease, so that another process takes it at once.
func (h *holder) giveUp() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	h.writer.lease.Released = true
	if err := h.writer.write(ctx, nil); err != nil {
		h.cfg.Log.Warn().Err(err).Msg("lease_not_released")
	}
}

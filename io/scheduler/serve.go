package scheduler

import (
	"context"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

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

// yield asks the other entries to take over and lets agents look whether one
// has. This process stays the scheduler until then, and its agents stay linked:
// if nobody reaches the store, nobody takes over.
func (h *holder) yield() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.yielding {
		return
	}
	h.yielding = true
	h.cfg.Log.Warn().Uint64("epoch", h.writer.lease.Epoch).Msg("lease_offered")
	for c := range h.links {
		h.tell(c, &wire.LeaseOffer{Epoch: h.writer.lease.Epoch})
	}
}

// tellEntries sends a message to the entries.
func (h *holder) tellEntries(m wire.Message) {
	for c := range h.links {
		if c.Peer().Role == wire.RoleEntry {
			h.tell(c, m)
		}
	}
}

// tell sends a message that may be lost: a process whose link has ended reads
// the lease itself.
func (h *holder) tell(c *frame.Conn, m wire.Message) {
	if c.Closed() {
		delete(h.links, c)
		return
	}
	if err := c.Send(m); err != nil {
		h.cfg.Log.Debug().Str("peer", c.Peer().Name).Err(err).Msg("message_not_sent")
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
	h.engine.ResetSequence(p.Name)
	h.cfg.Log.Info().Str("agent", p.Name).Uint64("token", a.token).Msg("agent_linked")
	if h.yielding {
		h.tell(c, &wire.LeaseOffer{Epoch: h.writer.lease.Epoch})
	}
	h.wg.Add(1)
	go h.deliver(p.Name, a)
	a.notify()
}

// handle takes in one message.
func (h *holder) handle(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message {
	switch v := m.(type) {
	case *wire.SubmitJob:
		return h.submit(ctx, v.Job)
	case *wire.LeaseTaken:
		h.depose(v.Lease)
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch v := m.(type) {
	case *wire.WorkerReport:
		h.takeReport(c, v)
	case *wire.JobQuery:
		queue, state, known := h.engine.State(v.ID)
		return &wire.JobAnswer{Known: known && h.open[v.ID] == nil, Queue: queue, State: state}
	case *wire.ExplainQuery:
		a := h.engine.Explain(v.ID, time.Now())
		a.Scheduler, a.Epoch = h.cfg.Node, h.writer.lease.Epoch
		return a
	case *wire.StatusQuery:
		a := h.engine.Status(time.Now())
		a.Scheduler, a.Epoch, a.LeaseAge, a.Offered = h.cfg.Node, h.writer.lease.Epoch, time.Since(h.confirmAt), h.yielding
		return a
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
	if time.Since(h.confirmAt) <= MaxConfirmAge {
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
	o.Sequence, o.Epoch, o.FencingToken, o.LastReportSent = a.sequence, h.writer.lease.Epoch, a.token, a.granted
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

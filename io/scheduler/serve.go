package scheduler

import (
	"context"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// agentLink is the connection of one agent.
type agentLink struct {
	conn          *frame.Conn
	token         uint64
	sequence      uint64             // of the last orders sent
	grantedAt     time.Duration      // send time, on the agent's clock, of its last report while the lease was confirmed
	reported      bool               // has sent a report
	early         *wire.WorkerReport // latest report that arrived while the tables were read
	ordersChanged chan struct{}      // signals that its orders must be sent
}

// notify requests that the agent's orders be sent.
func (a *agentLink) notify() {
	select {
	case a.ordersChanged <- struct{}{}:
	default:
	}
}

// offerLease asks the other entries to take over and makes agents check
// whether one has. This process remains the scheduler until then and its
// agents stay connected, since nobody takes over if nobody reaches the store.
func (h *holder) offerLease() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.offered {
		return
	}
	h.offered = true
	h.cfg.Log.Warn().Uint64("epoch", h.writer.lease.Epoch).Msg("lease_offered")
	for c := range h.links {
		h.send(c, &wire.LeaseOffer{Epoch: h.writer.lease.Epoch})
	}
}

// sendToEntries sends a message to all connected entries.
func (h *holder) sendToEntries(m wire.Message) {
	for c := range h.links {
		if c.Peer().Role == wire.RoleEntry {
			h.send(c, m)
		}
	}
}

// send sends a message that may be lost. A process whose connection has ended
// reads the lease from the store. The caller holds mu.
func (h *holder) send(c *frame.Conn, m wire.Message) {
	o := h.links[c]
	switch {
	case o == nil:
	case c.Closed():
		delete(h.links, c)
	case !o.add(m):
		h.cfg.Log.Debug().Str("peer", c.Peer().Name).Msg("message_not_sent")
	}
}

// addConn registers a new connection of an agent or entry.
func (h *holder) addConn(c *frame.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := c.Peer()
	if h.closed || h.loading && p.Role != wire.RoleAgent {
		c.Close()
		return
	}
	o := newOutbox(c)
	h.links[c] = o
	h.start(o.run)
	if p.Role != wire.RoleAgent {
		return
	}
	if old := h.agents[p.Name]; old != nil {
		old.conn.Close()
	}
	h.agentConns++
	a := &agentLink{
		conn: c, token: (h.writer.lease.Epoch<<connBits + h.agentConns) << lifetimeBits, ordersChanged: make(chan struct{}, 1),
	}
	h.agents[p.Name] = a
	h.engine.ResetSequence(p.Name)
	h.cfg.Log.Info().Str("agent", p.Name).Uint64("token", a.token).Msg("agent_linked")
	if h.offered {
		h.send(c, &wire.LeaseOffer{Epoch: h.writer.lease.Epoch})
	}
	h.start(func() { h.deliverOrders(p.Name, a) })
	a.notify()
}

// handle handles one message and returns the response, if any.
func (h *holder) handle(ctx context.Context, c *frame.Conn, m wire.Message) wire.Message {
	switch v := m.(type) {
	case *wire.SubmitJob:
		return h.submit(ctx, v.Job)
	case *wire.LeaseTaken:
		h.loseLease(v.Lease)
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	switch v := m.(type) {
	case *wire.WorkerReport:
		h.handleReport(c, v)
	case *wire.JobQuery:
		queue, state, known := h.engine.State(v.ID)
		return &wire.JobAnswer{Known: known && h.unfinished[v.ID] == nil, Queue: queue, State: state}
	case *wire.ExplainQuery:
		a := h.engine.Explain(v.ID, time.Now())
		a.Scheduler, a.Epoch = h.cfg.Node, h.writer.lease.Epoch
		return a
	case *wire.StatusQuery:
		a := h.engine.Status(time.Now())
		a.Scheduler, a.Epoch, a.LeaseAge, a.Offered = h.cfg.Node, h.writer.lease.Epoch, h.leaseAge(), h.offered
		return a
	case *wire.QueueQuery:
		return &wire.QueueAnswer{Pending: h.engine.Pending(v.Queue)}
	}
	return nil
}

func (h *holder) handleReport(c *frame.Conn, r *wire.WorkerReport) {
	a := h.agents[r.Node]
	if a == nil || a.conn != c {
		return
	}
	switch {
	case h.loading:
		if a.early != nil && r.Sequence <= a.early.Sequence {
			return
		}
		a.early = r
	case h.engine.Report(r, time.Now()):
		a.reported = true
	default:
		return
	}
	if h.leaseAge() <= MaxConfirmAge {
		a.grantedAt = r.Sent
	}
	h.notifyAgent(r.Node)
	h.requestRound()
}

// notifyAgent requests that the orders of a node's agent be sent.
func (h *holder) notifyAgent(node string) {
	if a := h.agents[node]; a != nil {
		a.notify()
	}
}

// deliverOrders sends an agent its current orders whenever they change. An
// agent that does not read blocks no other agent and gets only the latest
// orders.
func (h *holder) deliverOrders(node string, a *agentLink) {
	for {
		select {
		case <-a.conn.Done():
			return
		case <-a.ordersChanged:
		}
		o, ok := h.nextOrders(node, a)
		if !ok {
			continue
		}
		if err := a.conn.Send(&o); err != nil {
			h.cfg.Log.Debug().Str("agent", node).Err(err).Msg("orders_not_sent")
		}
	}
}

// nextOrders returns an agent's current orders, or false if the engine has none
// for the node. The first ones, sent before any report, contain only its token.
func (h *holder) nextOrders(node string, a *agentLink) (wire.WorkerOrders, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.recoverPanic()
	var o wire.WorkerOrders
	if a.reported {
		h.engine.SetEvacuated(h.cfg.Evacuation(), time.Now())
		var ok bool
		if o, ok = h.engine.Orders(node); !ok {
			return o, false
		}
		h.permitStarts(&o, a)
	}
	a.sequence++
	o.Sequence, o.Epoch, o.Token, o.LastReportSent = a.sequence, h.writer.lease.Epoch, a.token, a.grantedAt
	return o, true
}

// permitStarts adds to orders the permission within which their starts may be carried
// out. The permission counts from the agent's last report that this process has
// granted. Without one the agent could start nothing, so the starts are left out until
// the next orders. They are also left out while this process may not know of all
// cancellations.
func (h *holder) permitStarts(o *wire.WorkerOrders, a *agentLink) {
	if h.cfg.CancelLimit <= 0 && h.cfg.Engine.EvacuationLimit <= 0 {
		return
	}
	o.StartPermission = h.startPermission()
	if o.StartPermission > 0 && a.grantedAt > 0 {
		return
	}
	if o.StartPermission == 0 && len(o.Starts) > 0 && !h.startsWithheld {
		h.startsWithheld = true
		h.cfg.Log.Warn().Dur("age", h.jobsAge()).Msg("starts_withheld")
	}
	o.Starts, o.OtherStarts = nil, nil
}

// startPermission returns the shorter permission of those that the limits of evacuations
// and cancellations leave, or 0 if there is none. One of them must be set.
func (h *holder) startPermission() time.Duration {
	evacuation, cancellation := h.cfg.Engine.EvacuationLimit, h.cfg.CancelLimit
	switch {
	case cancellation <= 0:
		return job.EvacuationPermission(evacuation)
	case evacuation <= 0:
		return job.CancellationPermission(cancellation, h.jobsAge())
	default:
		return min(job.EvacuationPermission(evacuation), job.CancellationPermission(cancellation, h.jobsAge()))
	}
}

// closeConns closes all connections behind the messages that wait, so that agents and
// entries look for another scheduler.
func (h *holder) closeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.links {
		o.close()
	}
	clear(h.links)
	clear(h.agents)
}

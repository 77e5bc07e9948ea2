package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bramleythread/io/wire"

	"pgregory.net/rapid"
)

// modelConn is a connection of an agent to a scheduler. Messages arrive in order, at any
// time, or are lost with the connection.
type modelConn struct {
	h           *modelHolder
	node        string
	token       uint64
	reported    bool          // the scheduler has processed a report on it
	granted     time.Duration // Sent of its newest report that permits renewals
	changed     bool          // its orders are to be sent
	toAgent     []wire.WorkerOrders
	toScheduler []*wire.WorkerReport
}

// modelHolder is a process that holds the lease, or has held it and does not know yet
// that it is replaced. Until it ends it serves its agents, but writes nothing.
type modelHolder struct {
	e          *Engine
	epoch      uint64
	connCount  uint64
	conns      map[string]*modelConn // by node
	batch      *Batch                // not known to be written
	written    bool                  // the store has applied batch
	replacedAt time.Duration         // 0 for the holder of the lease
	readAt     time.Duration         // boot time as of which it knows all cancellations
}

// model is schedulers with their agents and workers.
type model struct {
	rt         *rapid.T
	f          *testCluster
	holder     *modelHolder // of the lease
	former     *modelHolder // nil if its process has ended
	agents     []*modelAgent
	guaranteed int
	done       map[wire.TaskID]bool // ended as done, and acknowledged to the worker
	failed     map[wire.TaskID]*modelFailures
	submitted  map[string]wire.Job
	cancelled  map[string]time.Duration // boot times at which cancellations were acknowledged

	cancelLimit time.Duration // within which cancellations must take effect; 0 if there is none
}

// modelFailures are the numbers of the failed runs of a task, or of a gang under its
// first task.
type modelFailures struct {
	ended        map[int]bool // on a worker
	acknowledged map[int]bool // to the worker
}

func newModel(rt *rapid.T, f *testCluster) *model {
	m := &model{
		rt: rt, f: f, done: make(map[wire.TaskID]bool), failed: make(map[wire.TaskID]*modelFailures), submitted: make(map[string]wire.Job), cancelled: make(map[string]time.Duration),
		guaranteed:  rapid.SampledFrom([]int{0, 16}).Draw(rt, "guaranteed"),
		cancelLimit: rapid.SampledFrom([]time.Duration{0, 3 * time.Second}).Draw(rt, "cancel limit"),
	}
	m.holder = &modelHolder{e: m.f.e, epoch: 1, conns: make(map[string]*modelConn), readAt: m.bootTime()}
	for i := range rapid.IntRange(1, 3).Draw(rt, "workers") {
		a := &modelAgent{name: node(i), worker: newModelWorker(1)}
		a.reset(info(node(i)))
		m.agents = append(m.agents, a)
		m.connect(a, m.holder)
	}
	return m
}

// bootTime returns the time on the clock of all VMs.
func (m *model) bootTime() time.Duration { return m.f.now.Sub(testStart) + time.Second }

// wait lets time pass.
func (m *model) wait(d time.Duration) {
	m.f.now = m.f.now.Add(d)
	for _, a := range m.agents {
		m.lapse(a.worker)
	}
}

// disconnect ends a connection at its agent. Reports on their way may still arrive.
func (m *model) disconnect(a *modelAgent) {
	a.conn, a.ordered, a.polled = nil, false, false
	a.orders = wire.WorkerOrders{LastReportSent: a.orders.LastReportSent}
	clear(a.refused)
}

// Bits of a token that number the connections of an epoch and the lifetimes that an agent
// has known.
const (
	modelConnBits     = 24
	modelLifetimeBits = 16
)

// connect opens a new connection of an agent, whose first orders hold its token only.
func (m *model) connect(a *modelAgent, h *modelHolder) {
	m.disconnect(a)
	h.connCount++
	a.conn = &modelConn{h: h, node: a.name, token: (h.epoch<<modelConnBits + h.connCount) << modelLifetimeBits, changed: true}
	h.conns[a.name] = a.conn
	h.e.ResetSequence(a.name)
}

// reconnect opens a connection to the holder of the lease, or to a former one that still
// accepts connections.
func (m *model) reconnect(a *modelAgent) {
	h := m.holder
	if m.former != nil && m.confirmed(m.former) && rapid.IntRange(0, 3).Draw(m.rt, "to") == 0 {
		h = m.former
	}
	m.connect(a, h)
}

// confirmed reports whether the last commit of a holder may be recent enough to grant
// renewals and accept connections.
func (m *model) confirmed(h *modelHolder) bool {
	return h.replacedAt == 0 || m.bootTime()-h.replacedAt <= modelConfirmAge
}

// sendOrders sends the present orders of a connection on their way.
func (m *model) sendOrders(c *modelConn) {
	if c == nil || !c.changed {
		return
	}
	c.changed = false
	var o wire.WorkerOrders
	if c.reported {
		var ok bool
		if o, ok = c.h.e.Orders(c.node); !ok {
			return
		}
		m.permitStarts(c, &o)
	}
	o.Token, o.LastReportSent = c.token, c.granted
	c.toAgent = append(c.toAgent, o)
}

// permitStarts limits the time of the starts in orders, if cancellations have a limit.
func (m *model) permitStarts(c *modelConn, o *wire.WorkerOrders) {
	if m.cancelLimit == 0 {
		return
	}
	o.StartPermission = CancellationPermission(m.cancelLimit, m.bootTime()-c.h.readAt)
	if o.StartPermission == 0 || c.granted == 0 {
		o.Starts, o.OtherStarts = nil, nil
	}
}

// deliver hands the next report on a connection to its scheduler.
func (m *model) deliver(c *modelConn) {
	if c == nil || len(c.toScheduler) == 0 {
		return
	}
	r := c.toScheduler[0]
	c.toScheduler = c.toScheduler[1:]
	if !c.h.e.Report(r, m.f.now) {
		return
	}
	if m.confirmed(c.h) {
		c.granted = r.Sent
	}
	c.reported, c.changed = true, true
}

// talk takes the state of the worker and all reports to the scheduler, whose orders are
// on their way.
func (m *model) talk(a *modelAgent) {
	c := a.conn
	if c == nil {
		return
	}
	m.sendOrders(c)
	if !a.ordered {
		m.receive(a)
	}
	m.pollNow(a)
	m.report(a)
	for len(c.toScheduler) > 0 {
		m.deliver(c)
	}
	m.sendOrders(c)
}

// decide runs a scheduling tick.
func (m *model) decide(h *modelHolder) {
	if h.batch != nil {
		return
	}
	h.e.SetGuarantees(map[string]int{"c": m.guaranteed})
	h.e.Expire(m.f.now)
	h.e.Tick(m.f.now)
	h.batch, h.written = h.e.Flush(), false
}

// write makes the store apply the transaction of the holder of the lease.
func (m *model) write() {
	h := m.holder
	if h.batch == nil || h.written {
		return
	}
	h.written = true
	for _, c := range h.batch.Progress {
		m.f.rows[c.ID] = c.Progress
		if c.Progress.State == wire.JobFailed {
			m.checkFailed(c.job)
		}
	}
}

// failuresOf returns the failures of a task, or of its gang.
func (m *model) failuresOf(id wire.TaskID) *modelFailures {
	if m.submitted[id.Job].Steps[id.Step].Gang {
		id.Index = 0
	}
	if m.failed[id] == nil {
		m.failed[id] = &modelFailures{ended: make(map[int]bool), acknowledged: make(map[int]bool)}
	}
	return m.failed[id]
}

// checkFailed checks that a job that callers see as failed has used its attempts.
func (m *model) checkFailed(j *Job) {
	for id, f := range m.failed {
		if id.Job == j.ID && len(f.ended) >= j.Attempts {
			return
		}
	}
	m.rt.Fatalf("job %s is shown as failed, and no task or gang has failed in %d runs", j.ID, j.Attempts)
}

// commit takes the answer to a transaction to its scheduler.
func (m *model) commit(h *modelHolder) {
	if h.batch != nil && !h.written {
		return
	}
	if h.batch != nil {
		h.e.MarkCommitted(h.batch)
		h.batch = nil
	}
	for _, node := range h.e.TakeChangedNodes() {
		if c := h.conns[node]; c != nil {
			c.changed = true
		}
	}
}

// round decides, writes, commits and sends orders.
func (m *model) round() {
	m.write()
	m.commit(m.holder)
	m.readCancellations(m.holder)
	m.decide(m.holder)
	m.write()
	m.commit(m.holder)
	for _, a := range m.agents {
		m.sendOrders(m.holder.conns[a.name])
	}
}

// settle lets all messages arrive, and places and starts what waits.
func (m *model) settle() {
	for _, a := range m.agents {
		m.inTouch(a)
	}
	m.round()
	for _, a := range m.agents {
		m.inTouch(a)
	}
}

// takeOver replaces the holder of the lease by one that knows what is written. The
// former one may go on until it learns of that.
func (m *model) takeOver() {
	m.endFormer()
	m.former = m.holder
	m.former.replacedAt = m.bootTime()
	m.f.restart()
	m.holder = &modelHolder{e: m.f.e, epoch: m.former.epoch + 1, conns: make(map[string]*modelConn)}
	m.readCancellations(m.holder)
	if rapid.Bool().Draw(m.rt, "killed") {
		m.endFormer()
	}
	if rapid.Bool().Draw(m.rt, "reconnected") {
		for _, a := range m.agents {
			m.connect(a, m.holder)
		}
	}
}

// cancel stores the cancellation of a job, which schedulers read later.
func (m *model) cancel() {
	if len(m.submitted) == 0 {
		return
	}
	id := fmt.Sprintf("j%d", rapid.IntRange(1, len(m.submitted)).Draw(m.rt, "job"))
	if _, ok := m.cancelled[id]; !ok {
		m.cancelled[id] = m.bootTime()
	}
}

// readCancellations makes a scheduler know all cancellations.
func (m *model) readCancellations(h *modelHolder) {
	for _, id := range slices.Sorted(maps.Keys(m.cancelled)) {
		h.e.Cancel(id, m.f.now)
	}
	h.readAt = m.bootTime()
}

// endFormer ends the process of the former holder and its connections.
func (m *model) endFormer() {
	if m.former == nil {
		return
	}
	for _, a := range m.agents {
		if a.conn != nil && a.conn.h == m.former {
			m.disconnect(a)
		}
	}
	m.former = nil
}

// submit adds a job of one step.
func (m *model) submit() {
	s := step(1, rapid.SampledFrom([]int{4, 8}).Draw(m.rt, "accelerators"))
	switch rapid.IntRange(0, 5).Draw(m.rt, "kind") {
	case 0:
		s.Count = 2
	case 1:
		s.Count, s.Gang = 2, true
	}
	s.Checkpoints = rapid.Bool().Draw(m.rt, "checkpoints")
	j := m.f.job(fmt.Sprintf("j%d", len(m.submitted)+1), rapid.SampledFrom([]int{0, 2}).Draw(m.rt, "priority"), s)
	m.submitted[j.ID] = j
	m.holder.e.Submit(j, m.f.now)
}

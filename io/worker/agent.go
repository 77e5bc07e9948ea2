package worker

import (
	"cmp"
	"context"
	"sync"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Timing of an agent.
const (
	holdWait       = time.Second            // long poll of the worker; a report follows if its runs have changed
	callMargin     = 350 * time.Millisecond // added to the wait, for the response of a worker on the same machine
	callTimeout    = 700 * time.Millisecond
	ackWait        = 400 * time.Millisecond // for the scheduler to acknowledge ended runs
	retryDelay     = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
)

// Config configures an agent.
type Config struct {
	Node    string
	Zone    string
	Store   platform.Store
	Worker  Worker
	Log     zerolog.Logger
	Metrics *Metrics

	// BootTime measures the time since the VM's boot. If it is nil,
	// platform.BootTime does.
	BootTime func() time.Duration

	// Services reads the names of the services in the operators'
	// configuration. If it is nil, workers of any service are accepted.
	Services func(ctx context.Context) ([]string, error)
}

// Agent connects one worker to the scheduler. No other process calls the
// worker.
type Agent struct {
	cfg          Config
	link         *scheduler.Link
	start        time.Time
	ctx          context.Context // cancelled when the agent is closed
	stop         context.CancelFunc
	done         chan struct{}
	wg           sync.WaitGroup
	pollRequests chan struct{} // requests an immediate poll of the worker
	reportNeeded chan struct{} // requests an immediate report
	ackSignal    chan struct{} // signals newly acknowledged ends

	downCalls      int  // consecutive hold calls that found no worker process; used by holdLoop only
	lastHoldFailed bool // the last call of holdLoop failed

	services services

	mu               sync.Mutex
	conn             *frame.Conn // to the scheduler whose orders apply
	ordered          bool        // the first orders of conn, with their token, have arrived
	info             wire.WorkerInfo
	candidates       map[lifetimeID]candidate // announced lifetimes that the worker has not confirmed
	announceSequence uint64                   // of the latest announcement
	clock            time.Duration            // latest reading of the worker's clock
	clockAt          time.Time                // when it was received
	lifetime         uint64                   // number of lifetimes of the worker since this agent started
	orders           wire.WorkerOrders
	permission       startPermission      // of the starts in orders
	slowness         *wire.WorkerSlowness // from the latest orders with one; it outlives connections and lifetimes
	sequence         uint64               // of the latest report
	polled           bool                 // the worker has been polled in this connection and lifetime
	polledAt         time.Time            // send time of the latest poll that was applied
	running          map[wire.TaskRun]wire.RunningTask
	unlistedStarts   map[wire.TaskRun]time.Time // start times of runs that no poll has listed yet
	ended            []wire.EndedRun
	moreEnds         bool // the latest poll may lack ends
	refused          map[wire.TaskRun]string
	pending          map[wire.TaskRun]*pending
	startCalls       int       // start calls that have not returned
	startReturnedAt  time.Time // when the latest start call returned
	pacer            pacer
}

// pending is an order in progress.
type pending struct {
	stopAcked   bool      // the worker has acknowledged the stop
	stop        bool      // the run must be stopped
	reason      string    // reported as the refusal reason if the run never starts
	stopAckedAt time.Time // when it was acknowledged
	permission  startPermission
	unanswered  bool // a start call has ended without an answer, and may still be carried out

	epoch     uint64    // of the scheduler whose orders listed it last
	orderedAt time.Time // when the first of them arrived
	calls     int       // start calls so far
}

// Start starts an agent, which runs until Close is called.
func Start(cfg Config) *Agent {
	if cfg.BootTime == nil {
		cfg.BootTime = platform.BootTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, start: time.Now(), ctx: ctx, stop: cancel, done: make(chan struct{}),
		pollRequests:   make(chan struct{}, 1),
		reportNeeded:   make(chan struct{}, 1),
		ackSignal:      make(chan struct{}, 1),
		running:        make(map[wire.TaskRun]wire.RunningTask),
		unlistedStarts: make(map[wire.TaskRun]time.Time),
		refused:        make(map[wire.TaskRun]string),
		pending:        make(map[wire.TaskRun]*pending),
		pacer:          pacer{applied: make(map[wire.TaskRun]paced)},
		candidates:     make(map[lifetimeID]candidate),
	}
	a.link = scheduler.NewLink(scheduler.LinkConfig{
		Local:  wire.Hello{Role: wire.RoleAgent, Name: cfg.Node},
		Store:  cfg.Store,
		Handle: a.handle,
		Log:    cfg.Log,
	})
	a.wg.Add(3)
	go func() {
		defer a.wg.Done()
		a.link.Run(ctx, a.connected)
	}()
	go a.holdLoop(ctx)
	go a.reportLoop(ctx)
	go func() {
		a.wg.Wait()
		close(a.done)
	}()
	return a
}

// Close stops the agent. The worker's lease stays valid until it expires.
func (a *Agent) Close() {
	a.stop()
	if c := a.link.Conn(); c != nil {
		c.Close()
	}
	<-a.done
}

// Done returns a channel that is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

// resetLifetime discards the state of an earlier lifetime of the worker.
func (a *Agent) resetLifetime(info wire.WorkerInfo) {
	a.lifetime++
	a.polled = false
	a.announceSequence = 0
	a.clock, a.clockAt = 0, time.Time{}
	a.ended, a.moreEnds = nil, false
	clear(a.running)
	clear(a.unlistedStarts)
	clear(a.refused)
	clear(a.pending)
	clear(a.pacer.applied)
	a.cfg.Log.Info().Str("instance", info.Instance).Int64("born", info.Born).Str("service", info.Service).Str("rack", info.Rack).Msg("worker_lifetime")
	a.requestPoll()
}

func (a *Agent) setClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		a.clock, a.clockAt = clock, at
	}
}

// leaseEnd returns the lease end to request, on the worker's clock, or 0 if
// the scheduler's permission to renew has expired. The permission counts the time
// for which the VM was suspended. The estimate of the worker's clock does not, so
// it is never ahead, whether that clock ran or not.
func (a *Agent) leaseEnd(now time.Time) time.Duration {
	if a.orders.LastReportSent == 0 || a.clockAt.IsZero() {
		return 0
	}
	if a.cfg.BootTime() > a.orders.LastReportSent+scheduler.RenewalGrant {
		return 0
	}
	return a.clock + now.Sub(a.clockAt) + scheduler.WorkerLeaseDuration
}

// token returns the fencing token for the worker's current lifetime.
func (a *Agent) token() uint64 { return a.orders.Token + min(a.lifetime, maxLifetimes) }

// maxLifetimes is the largest number of lifetimes that tokens distinguish.
const maxLifetimes = 255

// connected handles a new connection to the scheduler.
func (a *Agent) connected(c *frame.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != c { // its first orders may have arrived earlier
		a.resetConn(c)
	}
}

// resetConn discards the orders of an earlier connection. Until the first
// orders of the new one arrive with their token, the worker may still carry
// out older ones.
func (a *Agent) resetConn(c *frame.Conn) {
	a.conn, a.ordered = c, false
	a.orders = wire.WorkerOrders{Token: a.orders.Token, LastReportSent: a.orders.LastReportSent}
	a.polled = false
	clear(a.refused)
}

// handle applies orders of the scheduler.
func (a *Agent) handle(_ context.Context, c *frame.Conn, m wire.Message) wire.Message {
	o, ok := m.(*wire.WorkerOrders)
	if !ok {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.Token < a.orders.Token || o.Token == a.orders.Token && (c != a.conn || o.Sequence <= a.orders.Sequence) {
		return nil
	}
	if c != a.conn {
		a.resetConn(c)
	}
	first := !a.ordered
	a.permission = permissionOf(o)
	o.LastReportSent = max(o.LastReportSent, a.orders.LastReportSent)
	acked := o.AckedEnds > a.orders.AckedEnds
	a.orders, a.ordered = *o, true
	if o.Slowness != nil {
		a.slowness = o.Slowness
	}
	if first {
		a.requestPoll()
	}
	if acked {
		a.signal(a.ackSignal)
	}
	a.applyOrders()
	return nil
}

// applyOrders carries out the current orders if they are for the worker's
// current lifetime. A start in progress that they do not list becomes a stop: the
// scheduler has ended the run, and a start call must not be repeated by the
// permission that came with these orders.
func (a *Agent) applyOrders() {
	o := &a.orders
	if !a.polled || o.Instance != a.info.Instance || o.Born != a.info.Born {
		return
	}
	listed := make(map[wire.TaskRun]bool, len(o.Starts)+len(o.OtherStarts)+len(o.Stops))
	a.applyStarts(o, listed)
	for _, r := range o.Stops {
		listed[r] = true
		a.applyStop(r)
	}
	for r, p := range a.pending {
		if _, present := a.running[r]; !listed[r] && !present && !p.stop {
			p.stop, p.reason = true, "not_ordered"
		}
	}
	for r := range a.refused {
		if !listed[r] {
			delete(a.refused, r)
		}
	}
}

// applyStarts begins the starts that are ordered and extends those in progress. If the
// scheduler has more of them, it sends them once a report shows that these are taken.
func (a *Agent) applyStarts(o *wire.WorkerOrders, listed map[wire.TaskRun]bool) {
	known := len(a.pending)
	for _, s := range o.Starts {
		r := wire.TaskRun{Task: s.Task, Run: s.Run}
		listed[r] = true
		a.applyStart(r, s)
	}
	for _, r := range o.OtherStarts {
		listed[r] = true
		if p := a.pending[r]; p != nil {
			a.permitAnew(p)
		}
	}
	if len(o.OtherStarts) > 0 && len(a.pending) > known {
		a.report()
	}
}

func (a *Agent) applyStart(r wire.TaskRun, s wire.StartTask) {
	if p := a.pending[r]; p != nil {
		a.permitAnew(p)
		return
	}
	if _, present := a.running[r]; present || a.refused[r] != "" || a.hasEnded(r) {
		return
	}
	if a.info.State != wire.WorkerReady {
		a.beginOrder(r, &pending{stop: true, reason: "worker_" + string(a.info.State)}, s)
		return
	}
	a.beginOrder(r, &pending{permission: a.permission}, s)
}

// permitAnew extends a start in progress to the permission of the current orders.
func (a *Agent) permitAnew(p *pending) { p.permission, p.epoch = a.permission, a.orders.Epoch }

func (a *Agent) applyStop(r wire.TaskRun) {
	p := a.pending[r]
	switch {
	case p != nil:
		p.stop, p.reason = true, cmp.Or(p.reason, "stopped")
	case a.hasEnded(r):
		// the report lists the end, and the run cannot start again
	case a.refused[r] == "":
		a.beginOrder(r, &pending{stop: true, reason: "stopped"}, wire.StartTask{Task: r.Task, Run: r.Run})
	}
}

func (a *Agent) beginOrder(r wire.TaskRun, p *pending, s wire.StartTask) {
	p.epoch, p.orderedAt = a.orders.Epoch, time.Now()
	a.pending[r] = p
	a.wg.Add(1)
	go a.executeOrder(r, p, s, a.lifetime)
}

func (a *Agent) signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// requestPoll requests an immediate poll of the worker.
func (a *Agent) requestPoll() { a.signal(a.pollRequests) }

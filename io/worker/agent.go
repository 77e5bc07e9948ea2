package worker

import (
	"context"
	"sync"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// Times of an agent.
const (
	holdWait       = time.Second            // of a long poll; a report follows each
	callMargin     = 350 * time.Millisecond // beyond the wait, for the answer of a worker on the same machine
	callTimeout    = 700 * time.Millisecond
	ackWait        = 400 * time.Millisecond // for the scheduler to record ends
	retryPause     = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
)

// Config sets up an agent.
type Config struct {
	Node    string
	Zone    string
	Store   platform.Store
	Worker  Worker
	Log     zerolog.Logger
	Metrics *Metrics
}

// Agent is the only process that calls its worker.
type Agent struct {
	cfg   Config
	link  *scheduler.Link
	start time.Time
	ctx   context.Context // ends when the agent is closed
	stop  context.CancelFunc
	done  chan struct{}
	wg    sync.WaitGroup
	fresh chan struct{} // asks for a look at the worker at once
	acks  chan struct{} // ends have been acknowledged

	downs      int  // calls in a row that found no worker; of the hold loop
	unanswered bool // the last call of the hold loop has failed

	mu        sync.Mutex
	conn      *frame.Conn // to the scheduler whose orders count
	ordered   bool        // its first orders, with its token, have come
	info      wire.WorkerInfo
	announce  uint64 // sequence of the newest announcement
	clock     time.Duration
	clockAt   time.Time
	life      uint64 // counts lifetimes of the worker since this agent started
	orders    wire.WorkerOrders
	sequence  uint64
	seen      bool      // the worker has been looked at since the link or the lifetime is new
	looked    time.Time // when the newest look that was taken in was sent
	running   map[wire.TaskRun]wire.RunningTask
	startedAt map[wire.TaskRun]time.Time // of runs that no look has shown yet
	ended     []wire.EndedRun
	refused   map[wire.TaskRun]string
	pending   map[wire.TaskRun]*pending
	pacer     pacer
}

// pending is an order that is being carried out.
type pending struct {
	stopped bool // the worker has answered that it stops
	stop    bool // the run must end
	reason  string
	settled time.Time // when the stop was answered
}

// Start starts an agent. It stops when Close is called.
func Start(cfg Config) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg: cfg, start: time.Now(), ctx: ctx, stop: cancel, done: make(chan struct{}),
		fresh:     make(chan struct{}, 1),
		acks:      make(chan struct{}, 1),
		running:   make(map[wire.TaskRun]wire.RunningTask),
		startedAt: make(map[wire.TaskRun]time.Time),
		refused:   make(map[wire.TaskRun]string),
		pending:   make(map[wire.TaskRun]*pending),
		pacer:     pacer{set: make(map[wire.TaskRun]paced)},
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

// Close stops the agent. The worker's lease goes on until it lapses.
func (a *Agent) Close() {
	a.stop()
	if c := a.link.Conn(); c != nil {
		c.Close()
	}
	<-a.done
}

// Done is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Announce takes in what the worker says of itself. It returns false for an
// announcement that a newer one has overtaken.
func (a *Agent) Announce(n Announcement) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n.Born < a.info.Born || n.Born == a.info.Born && n.Instance == a.info.Instance && n.Sequence <= a.announce {
		return false
	}
	state := a.info.State
	if n.Instance != a.info.Instance || n.Born != a.info.Born {
		a.newLife(n.WorkerInfo)
		state = ""
	}
	a.info, a.announce = n.WorkerInfo, n.Sequence
	a.setClock(n.Clock, time.Now())
	if state != n.State {
		a.cfg.Log.Info().Str("instance", n.Instance).Str("state", string(n.State)).Dur("remaining", n.Remaining).Msg("worker_state")
		a.report()
	}
	return true
}

// WorkerLeft takes in that a worker ends.
func (a *Agent) WorkerLeft(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if instance != a.info.Instance || a.info.State == wire.WorkerGone {
		return
	}
	a.info.State = wire.WorkerGone
	a.cfg.Log.Info().Str("instance", instance).Msg("worker_left")
	a.report()
}

// newLife forgets what an earlier lifetime of the worker ran.
func (a *Agent) newLife(info wire.WorkerInfo) {
	a.life++
	a.seen = false
	a.announce = 0
	a.clock, a.clockAt = 0, time.Time{}
	a.ended = nil
	clear(a.running)
	clear(a.startedAt)
	clear(a.refused)
	clear(a.pending)
	clear(a.pacer.set)
	a.cfg.Log.Info().Str("instance", info.Instance).Int64("born", info.Born).Str("service", info.Service).Str("rack", info.Rack).Msg("worker_lifetime")
	a.look()
}

func (a *Agent) setClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		a.clock, a.clockAt = clock, at
	}
}

// lease returns the end of the lease to ask for, on the worker's clock, or 0
// if the scheduler's grant has ended.
func (a *Agent) lease(now time.Time) time.Duration {
	if a.orders.LastReportSent == 0 || a.clockAt.IsZero() {
		return 0
	}
	if now.Sub(a.start) > a.orders.LastReportSent+scheduler.RenewalGrant {
		return 0
	}
	return a.clock + now.Sub(a.clockAt) + scheduler.WorkerLeaseDuration
}

// token is the fencing token for the worker's present lifetime.
func (a *Agent) token() uint64 { return a.orders.FencingToken + min(a.life, maxLife) }

// maxLife is the largest number of lifetimes that a token tells apart.
const maxLife = 255

// connected begins anew on a new connection to the scheduler.
func (a *Agent) connected(c *frame.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != c { // its first orders may have come before
		a.relink(c)
	}
}

// relink forgets what an earlier connection has ordered. Until the first orders
// of the new one, with its token, the worker may still carry out older ones.
func (a *Agent) relink(c *frame.Conn) {
	a.conn, a.ordered = c, false
	a.orders = wire.WorkerOrders{FencingToken: a.orders.FencingToken, LastReportSent: a.orders.LastReportSent}
	a.seen = false
	clear(a.refused)
}

// handle takes in orders.
func (a *Agent) handle(_ context.Context, c *frame.Conn, m wire.Message) wire.Message {
	o, ok := m.(*wire.WorkerOrders)
	if !ok {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.FencingToken < a.orders.FencingToken || o.FencingToken == a.orders.FencingToken && (c != a.conn || o.Sequence <= a.orders.Sequence) {
		return nil
	}
	if c != a.conn {
		a.relink(c)
	}
	first := !a.ordered
	o.LastReportSent = max(o.LastReportSent, a.orders.LastReportSent)
	acked := o.AckedEnds > a.orders.AckedEnds
	a.orders, a.ordered = *o, true
	if first {
		a.look()
	}
	if acked {
		a.signal(a.acks)
	}
	a.obey()
	return nil
}

// obey carries out orders that are meant for the worker's present lifetime.
func (a *Agent) obey() {
	o := &a.orders
	if !a.seen || o.Instance != a.info.Instance || o.Born != a.info.Born {
		return
	}
	listed := make(map[wire.TaskRun]bool, len(o.Starts)+len(o.Stops))
	for _, s := range o.Starts {
		r := wire.TaskRun{Task: s.Task, Run: s.Run}
		listed[r] = true
		a.obeyStart(r, s)
	}
	for _, r := range o.Stops {
		listed[r] = true
		a.obeyStop(r)
	}
	for r := range a.refused {
		if !listed[r] {
			delete(a.refused, r)
		}
	}
}

func (a *Agent) obeyStart(r wire.TaskRun, s wire.StartTask) {
	if _, there := a.running[r]; there || a.pending[r] != nil || a.refused[r] != "" || a.hasEnded(r) {
		return
	}
	if a.info.State != wire.WorkerReady {
		a.order(r, &pending{stop: true, reason: "worker_" + string(a.info.State)}, s)
		return
	}
	a.order(r, &pending{}, s)
}

func (a *Agent) obeyStop(r wire.TaskRun) {
	p := a.pending[r]
	switch {
	case p != nil:
		p.stop = true
	case a.hasEnded(r):
		// the report says so; it can't start again
	case a.refused[r] == "":
		a.order(r, &pending{stop: true, reason: "stopped"}, wire.StartTask{Task: r.Task, Run: r.Run})
	}
}

func (a *Agent) order(r wire.TaskRun, p *pending, s wire.StartTask) {
	a.pending[r] = p
	a.wg.Add(1)
	go a.carryOut(r, p, s, a.life)
}

func (a *Agent) signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// look asks for a look at the worker at once.
func (a *Agent) look() { a.signal(a.fresh) }

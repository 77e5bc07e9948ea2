// Package entry implements the agent of a deployment in which entries, the
// processes that queue requests, place them on workers themselves. The agent
// reports its worker to the entries and handles the messages of entries and of
// gang leads.
//
// The package is named after the peer of its connections; package agent is the
// entry's side of them. The agent that takes orders from a scheduler is in
// io/worker.
//
// An Agent is the only authority over its worker's slots and accelerators. It
// decides with the tables of core/worker, runs tasks on its local upstream and
// keeps finished results for a limited time.
package entry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/core/plan"
	"bramleythread/core/worker"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/upstream"
	"bramleythread/io/wire"
)

// Intervals and limits of an agent.
const (
	tickInterval          = 50 * time.Millisecond
	reportInterval        = time.Second
	minReportInterval     = 100 * time.Millisecond // minimum time between reports of changed usage
	upstreamLease         = 2 * time.Second        // lease of a task on the upstream
	upstreamRenewInterval = 500 * time.Millisecond
	replyWriteLimit       = 500 * time.Millisecond // time for running handlers to write their replies
	maxRetainedResults    = 4096                   // count of retained results
	maxRetainedBytes      = 64 << 20               // total bytes of their bodies
)

// Config configures an agent.
type Config struct {
	Name            string // name of the worker
	Zone            string
	Rack            string
	Incarnation     uint64           // increases with every start of the process
	ControlAddress  netip.AddrPort   // where gang leads reach this agent
	Entries         []netip.AddrPort // control addresses of the entries in the settings
	Key             []byte           // shared key of the control connections
	Store           platform.Store
	Log             zerolog.Logger
	Metrics         *Metrics
	MaxAnswer       int64         // bytes
	ResultLifetime  time.Duration // time for which finished results are retained
	ConnectUpstream func(a upstream.Announcement) (t upstream.TaskRunner, closeIdle func())
	MaxConns        int                // of gang leads; 0 means maxConns
	MaxHandshakes   int                // 0 for the default of package frame
	OnRefused       func(cause string) // called for each refused connection; may be nil
}

// upstreamState holds the last announcement of the upstream and its client.
type upstreamState struct {
	announcement  upstream.Announcement
	tasks         upstream.TaskRunner
	closeIdle     func()
	lastAnnounced time.Time
	available     bool
}

// Agent runs the tasks of one worker on its upstream, the local server that
// executes them.
type Agent struct {
	cfg    Config
	claims *platform.Claimer
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	wg     sync.WaitGroup

	mu            sync.Mutex
	table         *worker.Table
	upstream      upstreamState
	draining      bool
	stopped       bool
	attempts      map[worker.ID]*attempt
	gangs         map[worker.ID]*gang // gangs that this agent leads
	byClaimKey    map[string]*attempt
	byRequest     map[string]*attempt // latest attempt at each request
	retained      []*attempt          // finished attempts, oldest first
	retainedBytes int                 // bytes of the retained bodies
	configVersion uint64              // highest configuration version seen
	sequence      uint64
	links         map[netip.AddrPort]*entryLink
	memberConns   map[netip.AddrPort]*frame.Conn
}

// New starts an agent and its connections to the entries. Its worker accepts
// tasks once the upstream has announced itself and a plan is known.
func New(cfg Config) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg:         cfg,
		claims:      platform.NewClaimer(cfg.Store),
		ctx:         ctx,
		cancel:      cancel,
		done:        make(chan struct{}),
		table:       worker.NewTable(),
		attempts:    make(map[worker.ID]*attempt),
		gangs:       make(map[worker.ID]*gang),
		byClaimKey:  make(map[string]*attempt),
		byRequest:   make(map[string]*attempt),
		links:       make(map[netip.AddrPort]*entryLink),
		memberConns: make(map[netip.AddrPort]*frame.Conn),
	}
	a.addLinks(cfg.Entries, true)
	a.wg.Add(1)
	go a.tickLoop()
	return a
}

// Done returns a channel that is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Close stops the agent without waiting for its tasks. For a planned stop, call
// Drain first.
func (a *Agent) Close() {
	a.mu.Lock()
	if a.stopped {
		a.mu.Unlock()
		<-a.done
		return
	}
	a.stopped = true
	conns := slices.Collect(maps.Values(a.memberConns))
	for _, l := range a.links {
		conns = append(conns, l.openConns()...)
	}
	a.mu.Unlock()
	for _, c := range conns {
		c.WaitForHandlers(replyWriteLimit)
	}
	a.cancel()
	for _, c := range conns {
		c.Close()
	}
	a.claims.Close()
	a.wg.Wait()
	a.mu.Lock()
	if a.upstream.closeIdle != nil {
		a.upstream.closeIdle()
	}
	a.mu.Unlock()
	close(a.done)
}

// Ready reports whether the worker accepts tasks.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Accepting()
}

// HandleAnnouncement handles an announcement of the upstream. It ignores those of
// an older incarnation.
func (a *Agent) HandleAnnouncement(n upstream.Announcement) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.available && n.Incarnation < a.upstream.announcement.Incarnation {
		return
	}
	changed := !a.upstream.available || n.Incarnation != a.upstream.announcement.Incarnation || n.Address != a.upstream.announcement.Address
	a.upstream.lastAnnounced = now
	if !changed {
		return
	}
	a.connectUpstream(n)
}

// connectUpstream replaces the upstream and its client. The caller holds mu.
func (a *Agent) connectUpstream(n upstream.Announcement) {
	if a.upstream.closeIdle != nil {
		a.upstream.closeIdle()
	}
	a.upstream.announcement = n
	a.upstream.available = true
	a.upstream.tasks, a.upstream.closeIdle = a.cfg.ConnectUpstream(n)
	a.table.SetCapacity(config.Demand{Slots: min(n.Slots, n.Connections), Accelerators: n.Accelerators})
	a.updateAccepting()
	a.cfg.Log.Info().
		Str("worker", a.cfg.Name).
		Stringer("address", n.Address).
		Int("slots", n.Slots).
		Int("accelerators", n.Accelerators).
		Strs("services", n.Services).
		Msg("upstream_announced")
}

// HandleDeparture takes the upstream out of service when it leaves. Tasks that
// run on it continue.
func (a *Agent) HandleDeparture(incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.available && incarnation == a.upstream.announcement.Incarnation {
		a.removeUpstream("left")
	}
}

// removeUpstream takes the upstream out of service. The caller holds mu.
func (a *Agent) removeUpstream(reason string) {
	a.upstream.available = false
	a.updateAccepting()
	a.cfg.Log.Warn().Str("worker", a.cfg.Name).Str("reason", reason).Msg("upstream_gone")
	if reason != "silent" {
		return
	}
	// The upstream stops its tasks when their leases expire, so waiting longer
	// for their answers is pointless.
	for _, att := range a.attempts {
		att.abandonAfter(upstreamLease)
	}
}

// updateAccepting makes the worker accept new tasks if its upstream is available,
// a plan is known and it does not drain, and refuse them otherwise. The caller
// holds mu.
func (a *Agent) updateAccepting() {
	on := a.upstream.available && !a.draining && a.table.PlanVersion() > 0
	if on == a.table.Accepting() {
		return
	}
	a.table.SetAccepting(on)
	a.cfg.Metrics.setReady(on)
	a.triggerReports(true)
}

// setHomes applies the homes that an entry has sent, unless their plan is not
// newer than the one in force.
func (a *Agent) setHomes(m *wire.Homes) {
	homes := make(map[plan.HomeKey]config.Demand, len(m.Homes))
	for _, h := range m.Homes {
		homes[plan.HomeKey{Customer: h.Customer, Shape: h.Shape}] = config.Demand(h.Demand)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configVersion = max(a.configVersion, m.ConfigVersion)
	if !a.table.SetHomes(m.PlanVersion, homes) {
		return
	}
	a.cfg.Metrics.planVersion.Set(float64(m.PlanVersion))
	a.cfg.Log.Info().
		Str("worker", a.cfg.Name).
		Uint64("plan_version", m.PlanVersion).
		Uint64("config_version", m.ConfigVersion).
		Int("homes", len(homes)).
		Msg("plan_in_force")
	a.updateAccepting()
	a.triggerReports(true)
}

// tickLoop expires holds, leases, results and a silent upstream periodically.
func (a *Agent) tickLoop() {
	defer a.wg.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case now := <-t.C:
			a.tick(now)
		}
	}
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.available && now.Sub(a.upstream.lastAnnounced) > upstream.AnnounceExpiry {
		a.removeUpstream("silent")
	}
	a.applyEvents(a.table.Tick(now))
	a.expireResults(now)
}

// applyEvents handles events of the table. The caller holds mu.
func (a *Agent) applyEvents(events []worker.Event) {
	for _, e := range events {
		att := a.attempts[e.ID]
		if att == nil {
			continue
		}
		switch e.Kind {
		case worker.TaskReady:
			att.setReady()
		case worker.HoldExpired:
			att.requestStop(wire.ReasonLeaseLost)
			if !att.prepared {
				delete(a.attempts, e.ID)
			}
		case worker.LeaseExpired:
			att.requestStop(wire.ReasonLeaseLost)
			a.stopTaskAsync(att)
		}
	}
	if len(events) > 0 {
		a.triggerReports(false)
	}
}

// Drain makes the worker refuse new tasks and waits until no task runs on it.
// After half of the limit it preempts the remaining tasks; when the limit has
// passed it returns.
func (a *Agent) Drain(limit time.Duration) {
	a.mu.Lock()
	a.draining = true
	a.updateAccepting()
	a.triggerReports(true)
	a.mu.Unlock()
	a.cfg.Log.Info().Str("worker", a.cfg.Name).Dur("limit", limit).Msg("drain_started")
	if a.waitIdle(limit / 2) {
		return
	}
	a.mu.Lock()
	for id, att := range a.attempts {
		if a.table.Stop(id) {
			a.preempt(att)
		}
	}
	for _, g := range a.gangs {
		g.abort(wire.ReasonPreempted)
	}
	a.mu.Unlock()
	if !a.waitIdle(limit / 2) {
		a.cfg.Log.Warn().Str("worker", a.cfg.Name).Msg("drain_limit_reached")
	}
}

func (a *Agent) waitIdle(limit time.Duration) bool {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		if a.idle() {
			return true
		}
		select {
		case <-deadline.C:
			return false
		case <-t.C:
		}
	}
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.attempts) == 0 && len(a.gangs) == 0
}

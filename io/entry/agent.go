// Package entry is the agent's side of the control connections: it reports its
// worker to the entries and carries out what they and the leads of gangs ask.
//
// An Agent is the only authority over its worker's slots and accelerators. It
// decides with the tables of core/worker, runs tasks on the upstream beside it
// and keeps finished results for a while.
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
	tickInterval   = 50 * time.Millisecond
	reportInterval = time.Second
	reportMinimum  = 100 * time.Millisecond // between two reports of changed usage
	taskLease      = 2 * time.Second        // on the upstream
	renewInterval  = 500 * time.Millisecond
	quiesceLimit   = 500 * time.Millisecond // for replies that are being written
	maxResults     = 4096                   // finished results kept
	maxResultBytes = 64 << 20               // bytes of their bodies
)

// Config sets up an agent.
type Config struct {
	Name            string // of the worker
	Zone            string
	Rack            string
	Incarnation     uint64         // grows with every start of the process
	ControlAddress  netip.AddrPort // at which leads of gangs reach this agent
	Entries         []netip.AddrPort
	Key             []byte
	Store           platform.Store
	Log             zerolog.Logger
	Metrics         *Metrics
	MaxAnswer       int64         // bytes
	ResultLifetime  time.Duration // of finished results
	ConnectUpstream func(a upstream.Announcement) (t upstream.Tasks, closeIdle func())
}

// backend is the upstream as it last announced itself.
type backend struct {
	announced upstream.Announcement
	tasks     upstream.Tasks
	closeIdle func()
	heard     time.Time
	present   bool
}

// Agent is the process beside one upstream.
type Agent struct {
	cfg    Config
	claims *platform.Claimer
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	wg     sync.WaitGroup

	mu       sync.Mutex
	table    *worker.Table
	upstream backend
	draining bool
	stopped  bool
	works    map[worker.ID]*work
	gangs    map[worker.ID]*gang // that this agent leads
	byKey    map[string]*work
	latest   map[string]*work // by request
	finished []*work          // oldest first
	kept     int              // bytes of the finished bodies
	config   uint64           // highest configuration version seen
	sequence uint64
	links    map[netip.AddrPort]*link
	members  map[netip.AddrPort]*frame.Conn
}

// New starts an agent. Its links to the entries start at once; its worker is
// in service when the upstream has announced itself and a plan is known.
func New(cfg Config) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		cfg:     cfg,
		claims:  platform.NewClaimer(cfg.Store),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		table:   worker.NewTable(),
		works:   make(map[worker.ID]*work),
		gangs:   make(map[worker.ID]*gang),
		byKey:   make(map[string]*work),
		latest:  make(map[string]*work),
		links:   make(map[netip.AddrPort]*link),
		members: make(map[netip.AddrPort]*frame.Conn),
	}
	a.addLinks(cfg.Entries, true)
	a.wg.Add(1)
	go a.tickLoop()
	return a
}

// Done is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Close ends the agent at once. Drain first for a planned stop.
func (a *Agent) Close() {
	a.mu.Lock()
	if a.stopped {
		a.mu.Unlock()
		<-a.done
		return
	}
	a.stopped = true
	conns := slices.Collect(maps.Values(a.members))
	for _, l := range a.links {
		conns = append(conns, l.current()...)
	}
	a.mu.Unlock()
	for _, c := range conns {
		c.WaitForHandlers(quiesceLimit)
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

// Ready reports whether the worker is in service.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Accepting()
}

// HandleAnnouncement notes an announcement of the upstream.
func (a *Agent) HandleAnnouncement(n upstream.Announcement) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.present && n.Incarnation < a.upstream.announced.Incarnation {
		return
	}
	fresh := !a.upstream.present || n.Incarnation != a.upstream.announced.Incarnation || n.Address != a.upstream.announced.Address
	a.upstream.heard = now
	if !fresh {
		return
	}
	a.connectUpstream(n)
}

// connectUpstream replaces the upstream. The caller holds mu.
func (a *Agent) connectUpstream(n upstream.Announcement) {
	if a.upstream.closeIdle != nil {
		a.upstream.closeIdle()
	}
	a.upstream.announced = n
	a.upstream.present = true
	a.upstream.tasks, a.upstream.closeIdle = a.cfg.ConnectUpstream(n)
	a.table.SetCapacity(config.Demand{Slots: min(n.Slots, n.Connections), Accelerators: n.Accelerators})
	a.updateService()
	a.cfg.Log.Info().
		Str("worker", a.cfg.Name).
		Stringer("address", n.Address).
		Int("slots", n.Slots).
		Int("accelerators", n.Accelerators).
		Strs("services", n.Services).
		Msg("upstream_announced")
}

// HandleDeparture notes that the upstream leaves: it gets nothing new, and what runs on
// it goes on.
func (a *Agent) HandleDeparture(incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.present && incarnation == a.upstream.announced.Incarnation {
		a.dropUpstream("left")
	}
}

// dropUpstream takes the upstream out of service. The caller holds mu.
func (a *Agent) dropUpstream(reason string) {
	a.upstream.present = false
	a.updateService()
	a.cfg.Log.Warn().Str("worker", a.cfg.Name).Str("reason", reason).Msg("upstream_gone")
	if reason != "silent" {
		return
	}
	// The upstream stops its tasks when their leases end, so their answers
	// are not waited for any longer than that.
	for _, w := range a.works {
		w.abandonAfter(taskLease)
	}
}

// updateService opens or closes the worker for new tasks. The caller holds mu.
func (a *Agent) updateService() {
	on := a.upstream.present && !a.draining && a.table.PlanVersion() > 0
	if on == a.table.Accepting() {
		return
	}
	a.table.SetAccepting(on)
	a.cfg.Metrics.setReady(on)
	a.notify(true)
}

// setHomes puts homes from an entry in force.
func (a *Agent) setHomes(m *wire.Homes) {
	homes := make(map[plan.HomeKey]config.Demand, len(m.Homes))
	for _, h := range m.Homes {
		homes[plan.HomeKey{Customer: h.Customer, Shape: h.Shape}] = config.Demand(h.Demand)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.config = max(a.config, m.ConfigVersion)
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
	a.updateService()
	a.notify(true)
}

// tickLoop runs the systems of the table.
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
	if a.upstream.present && now.Sub(a.upstream.heard) > upstream.SilenceLimit {
		a.dropUpstream("silent")
	}
	a.apply(a.table.Tick(now))
	a.expireResults(now)
}

// apply carries out events of the table. The caller holds mu.
func (a *Agent) apply(events []worker.Event) {
	for _, e := range events {
		w := a.works[e.ID]
		if w == nil {
			continue
		}
		switch e.Kind {
		case worker.TaskReady:
			w.setReady()
		case worker.HoldExpired:
			w.stop(wire.ReasonLeaseLost)
			if !w.executing {
				delete(a.works, e.ID)
			}
		case worker.LeaseExpired:
			w.stop(wire.ReasonLeaseLost)
			a.goStop(w)
		}
	}
	if len(events) > 0 {
		a.notify(false)
	}
}

// Drain takes the worker out of service and waits until nothing runs on it.
// After half of the limit it hands over what still runs; at the limit it
// returns.
func (a *Agent) Drain(limit time.Duration) {
	a.mu.Lock()
	a.draining = true
	a.updateService()
	a.notify(true)
	a.mu.Unlock()
	a.cfg.Log.Info().Str("worker", a.cfg.Name).Dur("limit", limit).Msg("drain_started")
	if a.idleWithin(limit / 2) {
		return
	}
	a.mu.Lock()
	for id, w := range a.works {
		if a.table.Stop(id) {
			a.preempt(w)
		}
	}
	for _, g := range a.gangs {
		g.breakUp(wire.ReasonPreempted)
	}
	a.mu.Unlock()
	if !a.idleWithin(limit / 2) {
		a.cfg.Log.Warn().Str("worker", a.cfg.Name).Msg("drain_limit_reached")
	}
}

func (a *Agent) idleWithin(limit time.Duration) bool {
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
	return len(a.works) == 0 && len(a.gangs) == 0
}

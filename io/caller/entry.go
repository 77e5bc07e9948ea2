// Package caller is the process on an entry VM: it authenticates callers,
// queues and places their requests, and answers them.
//
// Entries share nothing but the platform's rows. Every request ends in exactly
// one of the outcomes ran, not-run and unknown.
package caller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bramleythread/core/schedule"
	"bramleythread/io/agent"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Config sets up an entry.
type Config struct {
	Name        string
	Zone        string
	Incarnation uint64
	Control     netip.AddrPort // at which agents and other entries connect
	Peers       []netip.AddrPort
	Key         []byte
	Store       platform.Store
	Log         zerolog.Logger
	Metrics     *Metrics
	Policy      schedule.Policy
	TraceCalls  int // calls of the scheduler that are recorded, 0 for none
}

// Entry is the state of one entry process.
type Entry struct {
	cfg    Config
	keeper *platform.ConfigCache
	pool   *agent.Pool
	peers  *agent.Peers
	claims *platform.Claimer
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	runMu  sync.Mutex // orders the starts of goroutines before Close
	wg     sync.WaitGroup
	wake   chan struct{}
	budget budget

	recorder *recorder // nil if nothing is recorded

	mu       sync.Mutex
	sched    *schedule.Scheduler
	requests map[string]*request
	byKey    map[string]*request
	finished []*request // oldest first
	kept     int        // bytes of the finished bodies
	sequence uint64
	draining bool // readiness is off
	stopping bool // nothing new is taken in
	known    map[netip.AddrPort]*knownEntry
	seen     map[string]time.Time // workers that other entries hear
	planned  planner
	versions map[string]versions // by worker
	sampled  time.Time
	forgot   time.Time
}

// versions are those that an agent last reported.
type versions struct {
	config uint64
	plan   uint64
}

// New returns an entry; Start makes it serve.
func New(cfg Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		cfg:      cfg,
		keeper:   &platform.ConfigCache{},
		claims:   platform.NewClaimer(cfg.Store),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		sched:    schedule.New(cfg.Policy),
		requests: make(map[string]*request),
		byKey:    make(map[string]*request),
		known:    make(map[netip.AddrPort]*knownEntry),
		seen:     make(map[string]time.Time),
		versions: make(map[string]versions),
	}
	for _, addr := range cfg.Peers {
		e.known[addr] = &knownEntry{seed: true}
	}
	e.pool = agent.NewPool(agent.Config{
		Local: wire.Hello{
			Role:        wire.RoleEntry,
			Name:        cfg.Name,
			Incarnation: cfg.Incarnation,
			Address:     cfg.Control,
		},
		Key:               cfg.Key,
		Log:               cfg.Log,
		HandleReport:      e.reported,
		HandleDisconnect:  e.gone,
		HandleConfigQuery: e.answerAsk,
		HandleFetch:       e.answerFetch,
		HandleCancel:      e.answerCancel,
		EntryAddresses:    e.entries,
	})
	e.peers = e.pool.NewPeers()
	e.startRecording(cfg.TraceCalls)
	return e
}

// Pool returns the connections to the agents, for the control listener.
func (e *Entry) Pool() *agent.Pool { return e.pool }

// Start runs the entry's loops.
func (e *Entry) Start() {
	e.run(e.timerLoop)
	e.run(e.configLoop)
	e.run(e.registryLoop)
	e.run(e.peerLoop)
}

// run starts a goroutine that Close waits for.
func (e *Entry) run(loop func()) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		loop()
	}()
}

// Done is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Close ends the entry at once. Drain first for a planned stop.
func (e *Entry) Close() {
	e.runMu.Lock()
	e.cancel()
	e.runMu.Unlock()
	e.saveTrace()
	e.peers.Close()
	e.claims.Close()
	e.wg.Wait()
	close(e.done)
}

// Ready reports whether the entry serves requests: it has a configuration and
// a plan, knows of no newer configuration and does not drain.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	cfg, _ := e.keeper.Config()
	return !draining && cfg != nil && e.keeper.Plan() != nil && !e.keeper.Behind()
}

// StopReadiness makes the balancer send callers elsewhere. Requests that
// arrive all the same are served.
func (e *Entry) StopReadiness() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Drain takes in nothing new and waits until no request is in flight, at most
// for the given time.
func (e *Entry) Drain(limit time.Duration) {
	e.mu.Lock()
	e.draining, e.stopping = true, true
	e.mu.Unlock()
	e.cfg.Log.Info().Dur("limit", limit).Msg("drain_started")
	end := clock().Add(limit)
	for clock().Before(end) && e.inFlight() > 0 {
		time.Sleep(drainPoll)
	}
}

const drainPoll = 20 * time.Millisecond

func (e *Entry) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests) - len(e.finished)
}

// reported takes in an agent's report. The reply tells the agent of a plan
// that it has not seen.
func (e *Entry) reported(r *wire.Report) wire.Message {
	now := clock()
	e.keeper.NoteVersion(r.ConfigVersion)
	e.mu.Lock()
	e.sched.Report(workerReport(r), now)
	e.versions[r.Worker] = versions{config: r.ConfigVersion, plan: r.PlanVersion}
	e.tick(now)
	e.mu.Unlock()
	if homes := e.homesFor(r.Worker); homes != nil && homes.PlanVersion > r.PlanVersion {
		return homes
	}
	return &wire.Ack{OK: true}
}

func workerReport(r *wire.Report) schedule.WorkerReport {
	return schedule.WorkerReport{
		Name:        r.Worker,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Zone:        r.Zone,
		Rack:        r.Rack,
		Ready:       r.State == wire.StateReady,
		Draining:    r.State == wire.StateDraining,
		Capacity:    demand(r.Capacity),
		Free:        demand(r.Free),
		Services:    r.Services,
		Usage:       usage(r.Usage),
	}
}

// gone notes that a worker's agent is no longer connected.
func (e *Entry) gone(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.MarkDown(worker)
}

// kick makes the timer loop look at the next timer again.
func (e *Entry) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// idleWait bounds the wait of the timer loop.
const idleWait = 100 * time.Millisecond

// timerLoop ticks when a deadline or a delay ends without any other event.
func (e *Entry) timerLoop() {
	t := time.NewTimer(idleWait)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.wake:
		case <-t.C:
		}
		now := clock()
		e.mu.Lock()
		e.tick(now)
		e.expireFinished(now)
		e.sampleFleet(now)
		e.forgetWorkers(now)
		wait := idleWait
		if at, ok := e.sched.NextTimer(); ok {
			wait = min(wait, max(at.Sub(now), 0))
		}
		e.mu.Unlock()
		t.Reset(wait)
	}
}

// Times of the forgetting of workers that are gone.
const (
	forgetInterval = time.Minute
	forgetAfter    = 10 * time.Minute
)

// forgetWorkers drops what is known of workers that have been gone for long.
// The caller holds mu.
func (e *Entry) forgetWorkers(now time.Time) {
	if now.Sub(e.forgot) < forgetInterval {
		return
	}
	e.forgot = now
	for _, name := range e.sched.RemoveStaleWorkers(now.Add(-forgetAfter)) {
		delete(e.versions, name)
	}
	for name, at := range e.seen {
		if now.Sub(at) > forgetAfter {
			delete(e.seen, name)
		}
	}
}

// tick runs the scheduler and carries out its decisions. The caller holds mu.
func (e *Entry) tick(now time.Time) {
	for _, d := range e.sched.Tick(now) {
		e.carryOut(d, now)
	}
}

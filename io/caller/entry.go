// Package caller implements the process on an entry VM, the front end of the
// deployment: it authenticates callers, queues their requests, places them on
// workers and returns the results.
//
// Entries share state only through rows in the platform's store. Every request
// ends with exactly one of the outcomes ran, not-run and unknown.
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

// Config configures an entry.
type Config struct {
	Name        string
	Zone        string
	Incarnation uint64
	Control     netip.AddrPort   // control address, to which agents and other entries connect
	Peers       []netip.AddrPort // control addresses of the entries named in the settings
	Key         []byte
	Store       platform.Store
	Log         zerolog.Logger
	Metrics     *Metrics
	Policy      schedule.Policy
	TraceCalls  int // number of scheduler calls to record; 0 disables recording

	// MaxConns limits the control connections, 0 for the default. OnRefused is called
	// with a cause for each that is refused; it may be nil.
	MaxConns      int
	MaxHandshakes int // 0 for the default of package frame
	OnRefused     func(cause string)
}

// Entry is the state of one entry process.
type Entry struct {
	cfg         Config
	configCache *platform.ConfigCache
	pool        *agent.Pool
	peers       *agent.Peers
	claims      *platform.Claimer
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}
	runMu       sync.Mutex // keeps goroutines from starting once Close has cancelled ctx
	wg          sync.WaitGroup
	wake        chan struct{}
	retryBudget retryBudget

	recorder *recorder // nil if recording is disabled

	mu            sync.Mutex
	sched         *schedule.Scheduler
	requests      map[string]*request
	byKey         map[string]*request
	finished      []*request // oldest first
	retainedBytes int        // size of the bodies of finished requests
	sequence      uint64
	draining      bool // not ready, but still accepting requests
	stopping      bool // new requests are refused
	knownEntries  map[netip.AddrPort]*knownEntry
	seenByPeers   map[string]time.Time // when other entries last saw a worker ready
	planState     plannerState
	versions      map[string]agentVersions // by worker
	lastSample    time.Time
	lastForget    time.Time
}

// agentVersions are the configuration and plan versions last reported by an agent.
type agentVersions struct {
	config uint64
	plan   uint64
}

// New returns an entry. Start starts its background loops.
func New(cfg Config) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		cfg:          cfg,
		configCache:  &platform.ConfigCache{},
		claims:       platform.NewClaimer(cfg.Store),
		ctx:          ctx,
		cancel:       cancel,
		done:         make(chan struct{}),
		wake:         make(chan struct{}, 1),
		sched:        schedule.New(cfg.Policy),
		requests:     make(map[string]*request),
		byKey:        make(map[string]*request),
		knownEntries: make(map[netip.AddrPort]*knownEntry),
		seenByPeers:  make(map[string]time.Time),
		versions:     make(map[string]agentVersions),
	}
	for _, addr := range cfg.Peers {
		e.knownEntries[addr] = &knownEntry{seed: true}
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
		HandleReport:      e.onReport,
		HandleDisconnect:  e.onAgentGone,
		HandleConfigQuery: e.answerConfigQuery,
		HandleFetch:       e.answerFetch,
		HandleCancel:      e.answerCancel,
		EntryAddresses:    e.liveEntries,
		MaxConns:          cfg.MaxConns,
		OnRefused:         cfg.OnRefused,
		MaxHandshakes:     cfg.MaxHandshakes,
	})
	e.peers = e.pool.NewPeers()
	e.startRecording(cfg.TraceCalls)
	return e
}

// Pool returns the agent connection pool, which serves the control listener.
func (e *Entry) Pool() *agent.Pool { return e.pool }

// Start starts the entry's background loops.
func (e *Entry) Start() {
	e.startGoroutine(e.timerLoop)
	e.startGoroutine(e.configLoop)
	e.startGoroutine(e.registryLoop)
	e.startGoroutine(e.peerLoop)
}

// startGoroutine runs f in a goroutine that Close waits for. It does nothing
// once the entry is closing.
func (e *Entry) startGoroutine(f func()) {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// Done returns a channel that is closed when Close has finished.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Close stops the entry without waiting for requests. For a planned stop, call
// Drain first.
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

// Ready reports whether the entry can serve requests: it has a configuration and
// a plan, knows of no newer configuration, and is not draining.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	cfg, _ := e.configCache.Config()
	return !draining && cfg != nil && e.configCache.Plan() != nil && !e.configCache.Behind()
}

// StopReadiness makes Ready report false, so that the load balancer stops sending
// requests. Requests that still arrive are served.
func (e *Entry) StopReadiness() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Drain refuses new requests and waits until none is in flight, at most for the
// given limit.
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

// drainPoll is the interval at which Drain checks for requests in flight.
const drainPoll = 20 * time.Millisecond

func (e *Entry) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests) - len(e.finished)
}

// onReport handles an agent's report. The reply contains the agent's homes if the
// plan in force is newer than the reported one.
func (e *Entry) onReport(r *wire.Report) wire.Message {
	now := clock()
	e.configCache.NoteVersion(r.ConfigVersion)
	e.mu.Lock()
	e.sched.Report(workerReport(r), now)
	e.versions[r.Worker] = agentVersions{config: r.ConfigVersion, plan: r.PlanVersion}
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
		Capacity:    configDemand(r.Capacity),
		Free:        configDemand(r.Free),
		Services:    r.Services,
		Usage:       customerUsage(r.Usage),
	}
}

// onAgentGone marks a worker as disconnected in the scheduler.
func (e *Entry) onAgentGone(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.MarkDown(worker)
}

// wakeTimer makes the timer loop recompute its wait.
func (e *Entry) wakeTimer() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxTimerWait is the longest wait of the timer loop.
const maxTimerWait = 100 * time.Millisecond

// timerLoop runs the scheduler when a timer expires, and the periodic tasks.
func (e *Entry) timerLoop() {
	t := time.NewTimer(maxTimerWait)
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
		e.updateFleetMetrics(now)
		e.forgetWorkers(now)
		wait := maxTimerWait
		if at, ok := e.sched.NextTimer(); ok {
			wait = min(wait, max(at.Sub(now), 0))
		}
		e.mu.Unlock()
		t.Reset(wait)
	}
}

// Timing of the removal of workers that are gone.
const (
	forgetInterval = time.Minute
	forgetAfter    = 10 * time.Minute
)

// forgetWorkers removes the state of workers that have been gone for forgetAfter.
// The caller holds mu.
func (e *Entry) forgetWorkers(now time.Time) {
	if now.Sub(e.lastForget) < forgetInterval {
		return
	}
	e.lastForget = now
	for _, name := range e.sched.RemoveStaleWorkers(now.Add(-forgetAfter)) {
		delete(e.versions, name)
	}
	for name, at := range e.seenByPeers {
		if now.Sub(at) > forgetAfter {
			delete(e.seenByPeers, name)
		}
	}
}

// tick runs the scheduler and executes its decisions. The caller holds mu.
func (e *Entry) tick(now time.Time) {
	for _, d := range e.sched.Tick(now) {
		e.execute(d, now)
	}
}

package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/core/job"
	"bramleythread/io/caller"
	"bramleythread/io/limits"
	"bramleythread/io/logfmt"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/worker"
	adapter "bramleythread/platform"
)

// Parameters of the processes on the users' platform, the hosting environment to
// which the package bramleythread/platform adapts.
const (
	metricsPortOffset   = 1                       // from the first of the ports that the platform assigns
	drainNotice         = 2500 * time.Millisecond // two missed readiness probes, which are 1 s apart
	maxNoticeFraction   = 0.45                    // of the time that the platform allows for a stop
	drainLimit          = 2 * time.Second         // for requests in flight, if the platform states no time for a stop
	exitTime            = 500 * time.Millisecond  // of the time for a stop, left to close all connections and exit
	extraRetention      = 10 * time.Second        // in addition to the time that the platform requires
	minRetention        = 2 * time.Minute
	maxCallerStoreCalls = 100 // concurrent calls to the store for callers, half of the descriptors that the limits reserve
)

// loadPlatformSettings reads the settings of the users' platform.
func loadPlatformSettings(env Env) (*adapter.Settings, error) {
	path := env.Getenv(adapter.SettingsVariable)
	if path == "" {
		return nil, &UsageError{Reason: adapter.SettingsVariable + " is not set"}
	}
	s, err := adapter.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	limitMemory(s)
	return s, nil
}

func limitMemory(s *adapter.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(limits.RuntimeMemory(s.MemoryBytes))
	}
}

// runOnPlatform runs a role on the users' platform and logs to standard output.
func runOnPlatform(env Env, role config.Role) error {
	s, err := loadPlatformSettings(env)
	if err != nil {
		return err
	}
	log := logfmt.New(env.Stdout, zerolog.InfoLevel)
	return runProcess(log, func() (process, error) {
		p, err := StartOnPlatform(role, s, log.Logger)
		if err != nil {
			return nil, err
		}
		p.env = env
		return p, nil
	})
}

// StartOnPlatform starts a role on the users' platform.
func StartOnPlatform(role config.Role, s *adapter.Settings, log zerolog.Logger) (*PlatformProcess, error) {
	var p process
	var err error
	switch role {
	case config.RoleEntry:
		p, err = startJobEntry(s, log)
	case config.RoleAgent:
		p, err = startJobAgent(s, log)
	default:
		return nil, &UsageError{Reason: fmt.Sprintf("role %q does not run on the users' platform", role)}
	}
	if err != nil {
		return nil, err
	}
	return &PlatformProcess{process: p, settings: *s, log: log}, nil
}

// Stop stops the process gracefully.
func (p *PlatformProcess) Stop() { p.stop() }

// Kill ends the process immediately.
func (p *PlatformProcess) Kill() { p.kill() }

// Ready reports whether the process accepts requests. An agent is always ready.
func (p *PlatformProcess) Ready() bool {
	e, ok := p.process.(*jobEntry)
	return !ok || e.admission.Ready()
}

// PlatformProcess is a process on the users' platform. Its settings can be
// reloaded.
type PlatformProcess struct {
	process
	env      Env // for reload; not set by StartOnPlatform
	settings adapter.Settings
	log      zerolog.Logger
}

// reload reads the settings again. Changes of the memory limit and of the
// revocation limit take effect immediately, others at the next start.
func (p *PlatformProcess) reload() error {
	s, err := loadPlatformSettings(p.env)
	if err != nil {
		return err
	}
	if e, ok := p.process.(*jobEntry); ok {
		e.admission.SetRevocationLimit(caller.RevocationLimit(s.RevocationLimit, s.RevocationStrict))
	}
	if *s != p.settings {
		p.log.Info().Stringer("store", s.Store).Stringer("callers", s.Callers).Dur("revocation_limit", s.RevocationLimit).Msg("settings_changed")
	}
	p.settings = *s
	return nil
}

// jobEntry is an entry on the users' platform. It accepts durable jobs and is a
// candidate for the scheduler role.
type jobEntry struct {
	admission *caller.AdmissionController
	catalog   *caller.Catalog
	candidate *scheduler.Candidate
	web       []*webServer  // all HTTP servers
	callers   *webServer    // the one for callers
	notice    time.Duration // between the end of readiness and the closing of the listeners
	drain     time.Duration // limit for the requests in flight after that
}

func startJobEntry(s *adapter.Settings, log zerolog.Logger) (*jobEntry, error) {
	l, _, err := listen(s.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "peers")
	}
	registry := newRegistry()
	limiter := newPlatformLimiter(s, log, registry)
	health := platform.NewHealth(adapter.NewStoreClient(s.Store), log, registry)
	store := health.MonitoredStore()
	metrics := scheduler.NewMetrics(registry)
	p := new(jobEntry)
	p.notice, p.drain = stopTimes(s.TerminationGrace)
	revocationLimit := caller.RevocationLimit(s.RevocationLimit, s.RevocationStrict)
	p.catalog = caller.WatchCatalog(caller.CatalogConfig{
		Store: store, Health: health, Log: log, Table: adapter.ConfigurationTable, Key: adapter.ConfigurationKey,
		PollWait: caller.PollWait(revocationLimit, s.EvacuationLimit), Decode: adapter.DecodeConfiguration,
		EvacuatedZone: adapter.EvacuatedZone, EvacuationLimit: s.EvacuationLimit,
	})
	p.admission = caller.NewAdmissionController(p.catalog, health, revocationLimit)
	var advise func(ctx context.Context, q job.AdviceRequest) (map[string]string, error)
	if s.Advice.IsValid() {
		advise = adapter.NewAdviceClient(s.Advice)
	}
	p.candidate = scheduler.Start(scheduler.Config{
		Advise: advise,
		Node:   s.Node, Address: s.Peers, Store: store, Log: log, Metrics: metrics,
		MaxLinks: limiter.FrameConns(), MaxHandshakes: limiter.Handshakes(), OnRefused: limiter.Refused,
		Guarantees: p.catalog.Guarantees, Evacuation: p.catalog.Evacuation, CancelLimit: s.CancelLimit,
		Engine: job.Config{
			LeaseLimit: scheduler.WorkerLeaseExpiry,
			Retention:  max(s.Retention, minRetention) + extraRetention,
			RackFactor: s.RackFactor, EvacuationLimit: s.EvacuationLimit,
			OnDecision: logDecision(log, metrics),
		},
	}, l)
	jobs := &caller.Jobs{
		Store: store.WithLimit(maxCallerStoreCalls), Health: health, CallScheduler: p.candidate.Call, Log: log, Metrics: caller.NewJobMetrics(registry, p.catalog),
	}
	ingress := &adapter.Ingress{Admission: p.admission, Log: log, Jobs: jobs}
	mux := newMux(registry, p.admission.Ready)
	jobs.RegisterStatus(mux)
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.admission.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	p.web, err = serveAll([]webConfig{
		{addr: s.Callers, handler: ingress, limiter: limiter, name: "callers", share: limits.ClientShare},
		{addr: s.Readiness, handler: ready, limiter: limiter, name: "readiness", share: limits.ReservedShare},
		{addr: metricsAddress(s), handler: mux, limiter: limiter, name: "metrics", share: limits.ReservedShare},
	})
	if err != nil {
		p.kill()
		return nil, err
	}
	p.callers = p.web[0]
	log.Info().Str("name", s.Node).Str("zone", s.Zone).Stringer("callers", s.Callers).Int("pid", os.Getpid()).Msg("entry_started")
	return p, nil
}

// newPlatformLimiter returns the limits of a process with the given settings.
func newPlatformLimiter(s *adapter.Settings, log zerolog.Logger, r *prometheus.Registry) *limits.Limiter {
	return limits.New(limits.Config{Memory: s.MemoryBytes, Files: s.MaxFiles, Log: log, Registry: r})
}

func metricsAddress(s *adapter.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Address, s.Peers.Port()+metricsPortOffset)
}

// serveAll starts a server for each configuration. If one fails, it returns those that
// were started.
func serveAll(configs []webConfig) ([]*webServer, error) {
	var servers []*webServer
	for _, cfg := range configs {
		w, err := serveHTTP(cfg)
		if err != nil {
			return servers, eris.Wrapf(err, "listen on %s", cfg.addr)
		}
		servers = append(servers, w)
	}
	return servers, nil
}

// stopTimes divides the time that the platform allows for a stop, or 0 if it states
// none, into the notice before the listeners close and the limit for the requests
// that are in flight then.
func stopTimes(grace time.Duration) (notice, drain time.Duration) {
	if grace <= 0 {
		return drainNotice, drainLimit
	}
	notice = min(drainNotice, time.Duration(maxNoticeFraction*float64(grace)))
	rest := grace - notice
	return notice, rest - min(exitTime, rest/4)
}

// logDecision returns a function that logs and counts the scheduler's decisions.
func logDecision(log zerolog.Logger, m *scheduler.Metrics) func(d job.Decision) {
	return func(d job.Decision) {
		m.ObserveDecision(d)
		line := log.Info()
		if d.Expected.Median > 0 {
			line.Dur("expected", d.Expected.Median).Float64("sigma", d.Expected.Sigma)
		}
		if d.Took > 0 {
			line.Dur("took", d.Took)
		}
		line.Str("job", d.Job).Int("occurrence", d.Task.Occurrence).Int("step", d.Task.Step).Int("index", d.Task.Index).
			Int("run", d.Run).Str("worker", d.Worker).Str("reason", d.Reason).Dur("age", d.Age).Msg(d.Kind)
	}
}

// stop turns readiness off and hands the scheduler role over to another entry.
// Load balancers send callers elsewhere before the listeners close. Until the last
// request is answered, this entry stays linked to the scheduler, which some answers
// come from.
func (p *jobEntry) stop() {
	p.admission.StopReadiness()
	p.candidate.Resign()
	time.Sleep(p.notice)
	p.callers.shutdown(p.drain)
	p.kill()
}

func (p *jobEntry) kill() {
	for _, w := range p.web {
		_ = w.server.Close()
	}
	p.candidate.Close()
	p.catalog.Close()
}

// jobAgent is an agent on the users' platform. It runs tasks of durable jobs on
// the worker beside it.
type jobAgent struct {
	agent *worker.Agent
	web   []*webServer
}

func startJobAgent(s *adapter.Settings, log zerolog.Logger) (*jobAgent, error) {
	registry := newRegistry()
	limiter := newPlatformLimiter(s, log, registry)
	store := platform.NewHealth(adapter.NewStoreClient(s.Store), log, registry).MonitoredStore()
	p := &jobAgent{agent: worker.Start(worker.Config{
		Node: s.Node, Zone: s.Zone, Store: store, Worker: adapter.NewWorkerClient(s.Worker), Services: configuredServices(store),
		Log: log, Metrics: worker.NewMetrics(prometheus.WrapRegistererWith(nil, registry)),
	})}
	mux := newMux(registry, func() bool { return true })
	var err error
	p.web, err = serveAll([]webConfig{
		{addr: s.Agent, handler: adapter.AnnouncementHandler(p.agent, log), limiter: limiter, name: "worker", share: limits.ClientShare},
		{addr: metricsAddress(s), handler: mux, limiter: limiter, name: "metrics", share: limits.ReservedShare},
	})
	if err != nil {
		p.kill()
		return nil, err
	}
	log.Info().Str("name", s.Node).Str("zone", s.Zone).Stringer("worker", s.Worker).Msg("agent_started")
	return p, nil
}

// configuredServices returns a function that reads the names of the services in
// the operators' configuration.
func configuredServices(store platform.Store) func(ctx context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		row, err := store.Get(ctx, adapter.ConfigurationKey)
		if err != nil || row.Revision == 0 {
			return nil, err
		}
		c, err := adapter.DecodeConfiguration(row.Value)
		if err != nil {
			return nil, err
		}
		return c.Services, nil
	}
}

// stop ends the agent immediately: its worker's lease is longer than a restart
// takes.
func (p *jobAgent) stop() { p.kill() }

func (p *jobAgent) kill() {
	for _, w := range p.web {
		_ = w.server.Close()
	}
	p.agent.Close()
}

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
	"bramleythread/io/logfmt"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/worker"
	adapter "bramleythread/platform"
)

// Settings of the processes on the users' platform.
const (
	metricsPort  = 1 // after the first of the ports that the platform lends
	memoryShare  = 0.8
	drainNotice  = 2500 * time.Millisecond // two missed readiness probes, a second apart
	noticeShare  = 0.45                    // of the time that the platform gives for a stop, at most
	drainLimit   = 2 * time.Second         // for requests in flight
	retention    = 10 * time.Second        // beyond the time that the platform asks for
	minRetention = 2 * time.Minute
)

// bootSettings reads the settings of the users' platform.
func bootSettings(env Env) (*adapter.Settings, error) {
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
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
}

// runOnPlatform runs a role on the users' platform, with its log on standard
// output.
func runOnPlatform(env Env, role config.Role) error {
	s, err := bootSettings(env)
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

// Stop is the planned stop.
func (b *PlatformProcess) Stop() { b.stop() }

// Kill ends the process at once.
func (b *PlatformProcess) Kill() { b.kill() }

// Ready reports whether the process wants requests.
func (b *PlatformProcess) Ready() bool {
	e, ok := b.process.(*jobEntry)
	return !ok || e.door.Ready()
}

// PlatformProcess is a process on the users' platform. Its settings may change.
type PlatformProcess struct {
	process
	env      Env
	settings adapter.Settings
	log      zerolog.Logger
}

// reload reads the settings again. The limits of memory and of withdrawn tokens
// change at once, addresses at the next start.
func (b *PlatformProcess) reload() error {
	s, err := bootSettings(b.env)
	if err != nil {
		return err
	}
	if e, ok := b.process.(*jobEntry); ok {
		e.door.SetRevocationLimit(s.RevocationLimit)
	}
	if *s != b.settings {
		b.log.Info().Stringer("store", s.Store).Stringer("callers", s.Callers).Dur("revocation_limit", s.RevocationLimit).Msg("settings_changed")
	}
	b.settings = *s
	return nil
}

// jobEntry is an entry on the users' platform.
type jobEntry struct {
	door      *caller.AdmissionController
	catalog   *caller.Catalog
	candidate *scheduler.Candidate
	web       []*webServer
	callers   *webServer
	notice    time.Duration // readiness is off before listeners close
}

func startJobEntry(s *adapter.Settings, log zerolog.Logger) (*jobEntry, error) {
	l, _, err := listen(s.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "peers")
	}
	registry := newRegistry()
	health := platform.NewHealth(adapter.NewStoreClient(s.Store), log, registry)
	store := health.MonitoredStore()
	metrics := scheduler.NewMetrics(registry)
	p := &jobEntry{notice: drainNotice}
	if share := time.Duration(noticeShare * float64(s.TerminationGrace)); share > 0 {
		p.notice = min(p.notice, share)
	}
	p.catalog = caller.WatchCatalog(caller.CatalogConfig{
		Store: store, Health: health, Log: log, Table: adapter.ConfigurationTable, Key: adapter.ConfigurationKey, Decode: adapter.DecodeConfiguration,
	})
	p.door = caller.NewAdmissionController(p.catalog, health, s.RevocationLimit)
	var advise func(ctx context.Context, q job.AdviceRequest) (map[string]string, error)
	if s.Advice.IsValid() {
		advise = adapter.NewAdviceClient(s.Advice)
	}
	p.candidate = scheduler.Start(scheduler.Config{
		Advise: advise,
		Node:   s.Node, Address: s.Peers, Store: store, Log: log, Metrics: metrics,
		Guarantees: p.catalog.Guarantees,
		Engine: job.Config{
			LeaseLimit: scheduler.WorkerLeaseExpiry,
			Retention:  max(s.Retention, minRetention) + retention,
			RackFactor: s.RackFactor,
			OnDecision: logDecision(log, metrics),
		},
	}, l)
	jobs := &caller.Jobs{
		Store: store, Health: health, CallScheduler: p.candidate.Call, Log: log, Metrics: caller.NewJobMetrics(registry, p.catalog),
	}
	ingress := &adapter.Ingress{Admission: p.door, Log: log, Jobs: jobs}
	mux := newMux(registry, p.door.Ready)
	jobs.RegisterStatus(mux)
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.door.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for _, v := range []struct {
		addr netip.AddrPort
		h    http.Handler
		to   **webServer
	}{
		{s.Callers, ingress, &p.callers},
		{s.Readiness, ready, nil},
		{netip.AddrPortFrom(s.Address, s.Peers.Port()+metricsPort), mux, nil},
	} {
		web, err := serveHTTP(v.addr, v.h)
		if err != nil {
			p.kill()
			return nil, eris.Wrapf(err, "listen on %s", v.addr)
		}
		if v.to != nil {
			*v.to = web
		}
		p.web = append(p.web, web)
	}
	log.Info().Str("name", s.Node).Str("zone", s.Zone).Stringer("callers", s.Callers).Int("pid", os.Getpid()).Msg("entry_started")
	return p, nil
}

// logDecision logs and counts the decisions of the scheduler.
func logDecision(log zerolog.Logger, m *scheduler.Metrics) func(d job.Decision) {
	return func(d job.Decision) {
		m.ObserveDecision(d)
		log.Info().Str("job", d.Job).Int("occurrence", d.Task.Occurrence).Int("step", d.Task.Step).Int("index", d.Task.Index).
			Int("run", d.Run).Str("worker", d.Worker).Str("reason", d.Reason).Dur("age", d.Age).Msg(d.Kind)
	}
}

// stop is the planned stop: another entry becomes the scheduler while this one
// still answers, then callers go elsewhere.
func (p *jobEntry) stop() {
	p.door.StopReadiness()
	p.candidate.Close()
	time.Sleep(p.notice)
	p.callers.shutdown(drainLimit)
	p.kill()
}

func (p *jobEntry) kill() {
	for _, w := range p.web {
		_ = w.server.Close()
	}
	p.candidate.Close()
	p.catalog.Close()
}

// jobAgent is an agent on the users' platform.
type jobAgent struct {
	agent *worker.Agent
	web   []*webServer
}

func startJobAgent(s *adapter.Settings, log zerolog.Logger) (*jobAgent, error) {
	registry := newRegistry()
	health := platform.NewHealth(adapter.NewStoreClient(s.Store), log, registry)
	p := &jobAgent{agent: worker.Start(worker.Config{
		Node: s.Node, Zone: s.Zone, Store: health.MonitoredStore(), Worker: adapter.NewWorkerClient(s.Worker),
		Log: log, Metrics: worker.NewMetrics(prometheus.WrapRegistererWith(nil, registry)),
	})}
	mux := newMux(registry, func() bool { return true })
	for _, v := range []struct {
		addr netip.AddrPort
		h    http.Handler
	}{
		{s.Agent, adapter.AnnouncementHandler(p.agent, log)},
		{netip.AddrPortFrom(s.Address, s.Peers.Port()+metricsPort), mux},
	} {
		web, err := serveHTTP(v.addr, v.h)
		if err != nil {
			p.kill()
			return nil, eris.Wrapf(err, "listen on %s", v.addr)
		}
		p.web = append(p.web, web)
	}
	log.Info().Str("name", s.Node).Str("zone", s.Zone).Stringer("worker", s.Worker).Msg("agent_started")
	return p, nil
}

// stop ends the agent at once: its worker's lease outlasts a restart.
func (p *jobAgent) stop() { p.kill() }

func (p *jobAgent) kill() {
	for _, w := range p.web {
		_ = w.server.Close()
	}
	p.agent.Close()
}

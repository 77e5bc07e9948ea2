package operator

import (
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
	"bramleythread/io/caller"
	"bramleythread/io/limits"
	"bramleythread/io/platform"
)

// entryProcess is an entry, which accepts callers' requests and places them on
// workers, with its listeners.
type entryProcess struct {
	entry   *caller.Entry
	web     *webServer
	mux     *http.ServeMux
	control net.Listener   // for connections from agents and other entries
	address netip.AddrPort // of the control listener
	drain   config.DrainSettings
	store   *platform.Client // closed by kill; nil if the store belongs to the caller
}

func startEntry(s *config.Settings, store platform.Store, log zerolog.Logger) (*entryProcess, error) {
	l, control, advertise, err := listenControl(s)
	if err != nil {
		return nil, err
	}
	registry := newRegistry()
	limiter := newLimiter(s, log, registry)
	e := caller.New(caller.Config{
		Name:          s.Name,
		Zone:          s.Zone,
		Incarnation:   newIncarnation(),
		Control:       advertise,
		Peers:         without(s.Entries, advertise),
		Key:           s.SharedKey,
		Store:         store,
		Log:           log,
		Metrics:       caller.NewMetrics(registry),
		Policy:        schedule.DefaultPolicy(),
		TraceCalls:    s.Trace.MaxCalls,
		MaxConns:      limiter.FrameConns(),
		OnRefused:     limiter.Refused,
		MaxHandshakes: limiter.Handshakes(),
	})
	mux := newMux(registry, e.Ready)
	e.Register(mux)
	web, err := serveHTTP(webConfig{addr: s.HTTP, handler: caller.LimitBody(mux), limiter: limiter, name: "http", share: limits.WholeShare})
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	go e.Pool().Serve(l)
	e.Start()
	log.Info().Str("name", s.Name).Str("zone", s.Zone).Stringer("http", web.addr).Stringer("control", control).Msg("entry_started")
	return &entryProcess{entry: e, web: web, mux: mux, control: l, address: control, drain: s.Drain}, nil
}

// newLimiter returns the limits of a process with the given settings, and sets the
// memory limit of the Go runtime if the settings name the memory.
func newLimiter(s *config.Settings, log zerolog.Logger, r prometheus.Registerer) *limits.Limiter {
	if s.Limits.Memory > 0 {
		debug.SetMemoryLimit(limits.RuntimeMemory(s.Limits.Memory))
	}
	return limits.New(limits.Config{Memory: s.Limits.Memory, Files: s.Limits.Files, Log: log, Registry: r})
}

// newIncarnation returns a number that increases with every start.
func newIncarnation() uint64 { return uint64(time.Now().UnixMilli()) }

func without(addrs []netip.AddrPort, own netip.AddrPort) []netip.AddrPort {
	var rest []netip.AddrPort
	for _, a := range addrs {
		if a != own {
			rest = append(rest, a)
		}
	}
	return rest
}

// stop turns readiness off so that load balancers send callers elsewhere, waits
// for the requests in flight, and closes the listeners.
func (p *entryProcess) stop() {
	p.web.server.SetKeepAlivesEnabled(false)
	p.entry.StopReadiness()
	time.Sleep(p.drain.Notice)
	p.entry.Drain(p.drain.Limit)
	p.web.shutdown(p.drain.Limit)
	p.kill()
}

// kill closes the entry and its listeners immediately.
func (p *entryProcess) kill() {
	_ = p.web.server.Close()
	_ = p.control.Close()
	p.entry.Close()
	<-p.entry.Pool().Done()
	if p.store != nil {
		p.store.Close()
	}
}

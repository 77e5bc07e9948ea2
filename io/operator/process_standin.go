package operator

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/io/platform"
	"bramleythread/io/upstream"
)

const leaveTimeout = time.Second

// platformProcess is a platform stand-in with its listener.
type platformProcess struct {
	standin *platform.Standin
	web     *webServer
}

func startPlatform(s *config.Settings, log zerolog.Logger) (*platformProcess, error) {
	standin := platform.NewStandin()
	mux := newMux(newRegistry(), func() bool { return true })
	mux.Handle("/v1/", standin.Handler())
	web, err := serveHTTP(s.HTTP, mux)
	if err != nil {
		return nil, err
	}
	log.Info().Stringer("http", web.addr).Msg("platform_standin_started")
	return &platformProcess{standin: standin, web: web}, nil
}

func (p *platformProcess) stop() { p.web.shutdown(time.Second) }

func (p *platformProcess) kill() { _ = p.web.server.Close() }

// upstreamProcess is an upstream stand-in with its listener and announcer.
type upstreamProcess struct {
	standin   *upstream.Standin
	web       *webServer
	announcer *upstream.Announcer
	drain     config.DrainSettings
}

func startUpstream(s *config.Settings, log zerolog.Logger) (*upstreamProcess, error) {
	u := s.Upstream
	standin := upstream.NewStandin(upstream.StandinConfig{
		DefaultRunTime:  u.RunTime,
		StragglerRate:   float64(u.StragglerPercent) / 100,
		StragglerFactor: u.StragglerFactor,
		ErrorRate:       float64(u.ErrorPercent) / 100,
		Seed:            uint64(u.Seed),
	})
	mux := newMux(newRegistry(), func() bool { return true })
	mux.Handle("/v1/", standin.Handler())
	web, err := serveHTTP(s.HTTP, mux)
	if err != nil {
		return nil, err
	}
	address := netip.AddrPortFrom(s.HTTP.Addr(), web.addr.Port())
	announcer := upstream.StartAnnouncer(u.Agent, upstream.Announcement{
		Incarnation:  newIncarnation(),
		Address:      address,
		Slots:        u.Slots,
		Accelerators: u.Accelerators,
		Connections:  u.Connections,
		Services:     u.Services,
	})
	log.Info().Stringer("http", web.addr).Stringer("agent", u.Agent).Strs("services", u.Services).Msg("upstream_standin_started")
	return &upstreamProcess{standin: standin, web: web, announcer: announcer, drain: s.Drain}, nil
}

// stop announces the leave and lets the running tasks end.
func (p *upstreamProcess) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// An agent that does not hear the leave notices the silence.
	_ = p.announcer.Leave(ctx)
	p.web.shutdown(p.drain.Limit)
	p.standin.Close()
}

func (p *upstreamProcess) kill() {
	p.announcer.Close()
	p.standin.Close()
	_ = p.web.server.Close()
}

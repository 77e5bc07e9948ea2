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

// platformStandin is a platform stand-in with its listener.
type platformStandin struct {
	standin *platform.Standin
	web     *webServer
}

func startPlatformStandin(s *config.Settings, log zerolog.Logger) (*platformStandin, error) {
	standin := platform.NewStandin()
	mux := newMux(newRegistry(), func() bool { return true })
	mux.Handle("/v1/", standin.Handler())
	web, err := serveStandin(s.HTTP, mux)
	if err != nil {
		return nil, err
	}
	log.Info().Stringer("http", web.addr).Msg("platform_standin_started")
	return &platformStandin{standin: standin, web: web}, nil
}

func (p *platformStandin) stop() { p.web.shutdown(time.Second) }

func (p *platformStandin) kill() { _ = p.web.server.Close() }

// upstreamStandin is an upstream stand-in with its listener and announcer.
type upstreamStandin struct {
	standin   *upstream.Standin
	web       *webServer
	announcer *upstream.Announcer
	drain     config.DrainSettings
}

func startUpstreamStandin(s *config.Settings, log zerolog.Logger) (*upstreamStandin, error) {
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
	web, err := serveStandin(s.HTTP, mux)
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
	return &upstreamStandin{standin: standin, web: web, announcer: announcer, drain: s.Drain}, nil
}

// stop notifies the agent and waits for the running tasks.
func (p *upstreamStandin) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// Errors are ignored: the agent also detects that the announcements stop.
	_ = p.announcer.Leave(ctx)
	p.web.shutdown(p.drain.Limit)
	p.standin.Close()
}

func (p *upstreamStandin) kill() {
	p.announcer.Close()
	p.standin.Close()
	_ = p.web.server.Close()
}

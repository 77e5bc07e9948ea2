package operator

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/io/entry"
	"bramleythread/io/limits"
	"bramleythread/io/platform"
	"bramleythread/io/upstream"
)

// Limits on the answers that an agent keeps.
const (
	maxAnswer      = 8 << 20 // bytes
	answerLifetime = 10 * time.Minute
)

// agentProcess is an agent, which runs tasks on the upstream beside it, with its
// listeners.
type agentProcess struct {
	agent   *entry.Agent
	web     *webServer
	control net.Listener // for connections from other agents
	drain   config.DrainSettings
	served  chan struct{}    // closed when the control listener is no longer served
	store   *platform.Client // closed by kill; nil if the store belongs to the caller
}

func startAgent(s *config.Settings, store platform.Store, log zerolog.Logger) (*agentProcess, error) {
	l, control, advertise, err := listenControl(s)
	if err != nil {
		return nil, err
	}
	registry := newRegistry()
	limiter := newLimiter(s, log, registry)
	a := entry.New(entry.Config{
		Name:            s.Name,
		Zone:            s.Zone,
		Rack:            s.Rack,
		Incarnation:     newIncarnation(),
		ControlAddress:  advertise,
		Entries:         s.Entries,
		Key:             s.SharedKey,
		Store:           store,
		Log:             log,
		Metrics:         entry.NewMetrics(registry),
		MaxAnswer:       maxAnswer,
		ResultLifetime:  answerLifetime,
		ConnectUpstream: connectUpstream,
		MaxConns:        limiter.FrameConns(),
		OnRefused:       limiter.Refused,
		MaxHandshakes:   limiter.Handshakes(),
	})
	mux := newMux(registry, a.Ready)
	listener := &upstream.Listener{OnAnnounce: a.HandleAnnouncement, OnLeave: a.HandleDeparture}
	listener.Register(mux)
	web, err := serveHTTP(webConfig{addr: s.HTTP, handler: mux, limiter: limiter, name: "http", share: limits.WholeShare})
	if err != nil {
		_ = l.Close()
		a.Close()
		return nil, err
	}
	p := &agentProcess{agent: a, web: web, control: l, drain: s.Drain, served: make(chan struct{})}
	go func() {
		defer close(p.served)
		a.Serve(l)
	}()
	log.Info().Str("worker", s.Name).Str("zone", s.Zone).Str("rack", s.Rack).Stringer("http", web.addr).Stringer("control", control).Msg("agent_started")
	return p, nil
}

func connectUpstream(a upstream.Announcement) (upstream.TaskRunner, func()) {
	c := upstream.NewClient(a.Address, a.Connections, maxAnswer)
	return c.TaskRunner(), c.Close
}

// stop drains the worker: it accepts no new tasks, and running tasks end or are
// preempted, to continue on another worker. Then it closes the listeners.
func (p *agentProcess) stop() {
	p.agent.Drain(p.drain.Limit)
	p.kill()
}

// kill closes the agent and its listeners immediately.
func (p *agentProcess) kill() {
	_ = p.web.server.Close()
	p.agent.Close()
	_ = p.control.Close()
	<-p.served
	if p.store != nil {
		p.store.Close()
	}
}

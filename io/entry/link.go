package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

// Back-off of the connections to entries.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	forgetAfter  = time.Minute // an entry that is not in the settings
)

// link keeps a connection to one entry.
type link struct {
	agent  *Agent
	addr   netip.AddrPort
	seed   bool // named in the settings
	wake   chan struct{}
	urgent chan struct{}

	mu   sync.Mutex
	conn *frame.Conn
}

// addLinks starts links to entries that have none yet.
func (a *Agent) addLinks(addrs []netip.AddrPort, seed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, addr := range addrs {
		if _, ok := a.links[addr]; ok || a.stopped {
			continue
		}
		l := &link{
			agent:  a,
			addr:   addr,
			seed:   seed,
			wake:   make(chan struct{}, 1),
			urgent: make(chan struct{}, 1),
		}
		a.links[addr] = l
		a.wg.Add(1)
		go l.loop()
	}
}

// notify makes the links report: at once, or when the minimum interval has
// passed. The caller holds mu.
func (a *Agent) notify(urgent bool) {
	for _, l := range a.links {
		ch := l.wake
		if urgent {
			ch = l.urgent
		}
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// current returns the link's connection, if it has one.
func (l *link) current() []*frame.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	return []*frame.Conn{l.conn}
}

func (l *link) loop() {
	a := l.agent
	defer a.wg.Done()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	wait.MaxInterval = maxBackoff
	lastSeen := time.Now()
	for a.ctx.Err() == nil {
		c, err := frame.Dial(a.ctx, l.addr, a.frameConfig())
		if err == nil {
			wait.Reset()
			l.serve(c)
			lastSeen = time.Now()
		}
		if !l.seed && time.Since(lastSeen) > forgetAfter {
			a.dropLink(l)
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (a *Agent) dropLink(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l.addr)
}

// serve reports on a connection until it ends.
func (l *link) serve(c *frame.Conn) {
	a := l.agent
	l.mu.Lock()
	l.conn = c
	l.mu.Unlock()
	a.cfg.Log.Info().Stringer("entry", l.addr).Str("name", c.Peer().Name).Msg("entry_connected")
	l.reportLoop(c)
	c.Close()
	<-c.Done()
	l.mu.Lock()
	l.conn = nil
	l.mu.Unlock()
	a.cfg.Log.Warn().Stringer("entry", l.addr).Str("name", c.Peer().Name).Msg("entry_disconnected")
}

func (l *link) reportLoop(c *frame.Conn) {
	for {
		ctx, cancel := context.WithTimeout(l.agent.ctx, frame.ReadTimeout)
		reply, err := c.Call(ctx, l.agent.report(c.Peer().Name))
		cancel()
		if err != nil {
			return
		}
		if homes, ok := reply.(*wire.Homes); ok {
			l.agent.setHomes(homes)
		}
		if !l.pause() {
			return
		}
	}
}

// pause waits until the next report is due. It reports false when the agent
// ends.
func (l *link) pause() bool {
	minimum := time.NewTimer(reportMinimum)
	defer minimum.Stop()
	select {
	case <-l.agent.ctx.Done():
		return false
	case <-l.urgent:
		return true
	case <-minimum.C:
	}
	rest := time.NewTimer(reportInterval - reportMinimum)
	defer rest.Stop()
	select {
	case <-l.agent.ctx.Done():
		return false
	case <-l.urgent:
	case <-l.wake:
	case <-rest.C:
	}
	return true
}

// report describes the worker to one entry.
func (a *Agent) report(entry string) *wire.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	r := &wire.Report{
		Worker:        a.cfg.Name,
		Incarnation:   a.cfg.Incarnation,
		Sequence:      a.sequence,
		Address:       a.cfg.ControlAddress,
		Zone:          a.cfg.Zone,
		Rack:          a.cfg.Rack,
		State:         a.state(),
		Capacity:      wire.Demand(a.table.Capacity()),
		Free:          wire.Demand(a.table.Free()),
		Services:      a.upstream.announced.Services,
		Running:       a.table.Len(),
		ConfigVersion: a.config,
		PlanVersion:   a.table.PlanVersion(),
	}
	for k, u := range a.table.Usage(entry) {
		r.Usage = append(r.Usage, wire.Usage{
			Customer: k.Customer,
			Shape:    k.Shape,
			Guest:    k.Guest,
			Used:     wire.Demand(u.Used),
			Mine:     wire.Demand(u.Mine),
		})
	}
	return r
}

// state returns the worker's state. The caller holds mu.
func (a *Agent) state() wire.State {
	switch {
	case a.table.Accepting():
		return wire.StateReady
	case a.draining:
		return wire.StateDraining
	default:
		return wire.StateGone
	}
}

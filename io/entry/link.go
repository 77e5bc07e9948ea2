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

// Retries of the connections to entries.
const (
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
	removeLinkAfter = time.Minute // for an unreachable entry that is not in the settings
)

// entryLink maintains the connection to one entry and reports on it.
type entryLink struct {
	agent      *Agent
	addr       netip.AddrPort
	seed       bool // listed in the settings; never removed
	reportSoon chan struct{}
	reportNow  chan struct{}

	mu   sync.Mutex
	conn *frame.Conn
}

// addLinks starts a link to each of the entries that has none.
func (a *Agent) addLinks(addrs []netip.AddrPort, seed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, addr := range addrs {
		if _, ok := a.links[addr]; ok || a.stopped {
			continue
		}
		l := &entryLink{
			agent:      a,
			addr:       addr,
			seed:       seed,
			reportSoon: make(chan struct{}, 1),
			reportNow:  make(chan struct{}, 1),
		}
		a.links[addr] = l
		a.wg.Add(1)
		go l.loop()
	}
}

// triggerReports makes every link send a report: at once if urgent, otherwise
// when minReportInterval has passed since the last one. The caller holds mu.
func (a *Agent) triggerReports(urgent bool) {
	for _, l := range a.links {
		ch := l.reportSoon
		if urgent {
			ch = l.reportNow
		}
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// openConns returns the link's connection, or nil if there is none.
func (l *entryLink) openConns() []*frame.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	return []*frame.Conn{l.conn}
}

func (l *entryLink) loop() {
	a := l.agent
	defer a.wg.Done()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialBackoff
	retry.MaxInterval = maxBackoff
	lastSeen := time.Now()
	for a.ctx.Err() == nil {
		c, err := frame.Dial(a.ctx, l.addr, a.frameConfig())
		if err == nil {
			retry.Reset()
			l.serve(c)
			lastSeen = time.Now()
		}
		if !l.seed && time.Since(lastSeen) > removeLinkAfter {
			a.removeLink(l)
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

func (a *Agent) removeLink(l *entryLink) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l.addr)
}

// serve sends reports on a connection until it ends.
func (l *entryLink) serve(c *frame.Conn) {
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

func (l *entryLink) reportLoop(c *frame.Conn) {
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
		if !l.waitForReport() {
			return
		}
	}
}

// waitForReport waits until the next report is due. It returns false when the
// agent ends.
func (l *entryLink) waitForReport() bool {
	minimum := time.NewTimer(minReportInterval)
	defer minimum.Stop()
	select {
	case <-l.agent.ctx.Done():
		return false
	case <-l.reportNow:
		return true
	case <-minimum.C:
	}
	rest := time.NewTimer(reportInterval - minReportInterval)
	defer rest.Stop()
	select {
	case <-l.agent.ctx.Done():
		return false
	case <-l.reportNow:
	case <-l.reportSoon:
	case <-rest.C:
	}
	return true
}

// report returns the report of the worker for one entry.
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
		State:         a.reportedState(),
		Capacity:      wire.Demand(a.table.Capacity()),
		Free:          wire.Demand(a.table.Free()),
		Services:      a.upstream.announcement.Services,
		Running:       a.table.Len(),
		ConfigVersion: a.configVersion,
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

// reportedState returns the worker's state for a report. The caller holds mu.
func (a *Agent) reportedState() wire.State {
	switch {
	case a.table.Accepting():
		return wire.StateReady
	case a.draining:
		return wire.StateDraining
	default:
		return wire.StateGone
	}
}

package caller

import (
	"context"
	"net/netip"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// Timing of the entry's polling loops.
const (
	configReadInterval = time.Second // between reads of the configuration and plan rows
	peerInterval       = 500 * time.Millisecond
	storeTimeout       = 2 * time.Second
)

// configLoop polls the configuration and plan rows, and replaces the plan when it
// no longer fits.
func (e *Entry) configLoop() {
	e.poll(planInterval, func() {
		e.readRows()
		e.replan()
	})
}

// poll calls f at once and then at the given interval until the entry is closed.
func (e *Entry) poll(interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
		}
	}
}

// readRows reads the configuration and plan rows from the store. A failure is
// harmless: the rows also arrive from peers or with the next poll.
func (e *Entry) readRows() {
	if time.Since(e.planState.lastRead) < configReadInterval && e.configCache.Plan() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	row, _, err := platform.LoadConfig(ctx, e.cfg.Store)
	if err != nil {
		e.recordStoreFailure(err)
		return
	}
	p, revision, err := platform.LoadPlan(ctx, e.cfg.Store)
	if err != nil {
		e.recordStoreFailure(err)
		return
	}
	e.planState.lastRead = clock()
	e.planState.revision, e.planState.revisionKnown = revision, true
	newConfig, err := e.configCache.UpdateConfig(row)
	if err != nil && row.Version != e.planState.unreadableVersion {
		e.planState.unreadableVersion = row.Version
		e.cfg.Log.Error().Err(err).Uint64("config_version", row.Version).Msg("config_unreadable")
	}
	newPlan, err := e.configCache.UpdatePlan(p)
	if err != nil {
		e.cfg.Log.Error().Err(err).Msg("plan_unreadable")
	}
	e.applyUpdate(newConfig, newPlan, "store")
}

func (e *Entry) recordStoreFailure(err error) {
	e.planState.revisionKnown = false
	e.cfg.Metrics.storeErrors.Inc()
	e.cfg.Log.Warn().Err(err).Msg("store_unavailable")
}

// applyUpdate applies a new configuration or plan from the cache, and pushes the
// homes to the agents.
func (e *Entry) applyUpdate(newConfig, newPlan bool, source string) {
	if !newConfig && !newPlan {
		return
	}
	cfg, version := e.configCache.Config()
	p := e.configCache.Plan()
	now := clock()
	e.mu.Lock()
	if newConfig {
		e.sched.SetConfig(cfg)
	}
	if newPlan {
		e.sched.SetPlan(p)
	}
	e.tick(now)
	e.mu.Unlock()
	e.cfg.Metrics.configVersion.Set(float64(version))
	event := e.cfg.Log.Info().Str("source", source).Uint64("config_version", version)
	if p != nil {
		e.cfg.Metrics.planVersion.Set(float64(p.Version))
		e.cfg.Metrics.missingHomes.Set(float64(len(p.Missing)))
		event = event.Uint64("plan_version", p.Version).Int("missing_homes", len(p.Missing))
	}
	event.Msg("config_in_force")
	e.pool.Broadcast(func(worker string) wire.Message {
		if homes := e.homesFor(worker); homes != nil {
			return homes
		}
		return nil
	})
}

// homesFor returns the plan's homes on a worker, or nil before the first plan.
func (e *Entry) homesFor(worker string) *wire.Homes {
	p := e.configCache.Plan()
	if p == nil {
		return nil
	}
	_, version := e.configCache.Config()
	m := &wire.Homes{ConfigVersion: version, PlanVersion: p.Version}
	for k, d := range p.HomesOnWorker(worker) {
		m.Homes = append(m.Homes, wire.Home{Customer: k.Customer, Shape: k.Shape, Demand: wire.Demand(d)})
	}
	return m
}

// peerLoop exchanges configurations, plans and worker liveness with other entries.
func (e *Entry) peerLoop() {
	e.poll(peerInterval, func() {
		for _, addr := range e.liveEntries()[1:] {
			e.syncPeer(addr)
		}
	})
}

// syncPeer fetches the configuration, plan and worker liveness from one entry.
func (e *Entry) syncPeer(addr netip.AddrPort) {
	_, _, configVersion, planVersion := e.configCache.EncodedNewerThan(0, 0)
	reply, err := e.peers.Call(e.ctx, addr, &wire.ConfigQuery{ConfigVersion: configVersion, PlanVersion: planVersion})
	if err != nil {
		return
	}
	m, ok := reply.(*wire.ConfigAnswer)
	if !ok {
		return
	}
	newConfig, newPlan, err := e.configCache.UpdateEncoded(m.Config, m.Plan)
	if err != nil {
		e.cfg.Log.Error().Err(err).Stringer("peer", addr).Msg("peer_config_unreadable")
	}
	e.mergeSeen(m.Seen)
	e.applyUpdate(newConfig, newPlan, "peer")
}

// mergeSeen updates the times at which other entries last saw workers ready.
func (e *Entry) mergeSeen(seen []wire.LastSeen) {
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range seen {
		at := now.Add(-s.Age)
		if at.After(e.seenByPeers[s.Worker]) {
			e.seenByPeers[s.Worker] = at
		}
	}
}

// answerConfigQuery answers another entry's syncPeer.
func (e *Entry) answerConfigQuery(m *wire.ConfigQuery) wire.Message {
	reply := &wire.ConfigAnswer{}
	reply.Config, reply.Plan, reply.ConfigVersion, reply.PlanVersion = e.configCache.EncodedNewerThan(m.ConfigVersion, m.PlanVersion)
	now := clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.sched.Workers() {
		if age, ok := w.TimeSinceReady(now); ok {
			reply.Seen = append(reply.Seen, wire.LastSeen{Worker: w.Name, Age: age})
		}
	}
	return reply
}

// answerFetch returns the result of a request of this entry to another entry.
func (e *Entry) answerFetch(ctx context.Context, m *wire.FetchResult) wire.Message {
	e.mu.Lock()
	r := e.requests[m.Request]
	e.mu.Unlock()
	if r == nil {
		return &wire.Result{Request: m.Request, Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUnknownRequest}
	}
	return e.awaitRequest(ctx, r)
}

// awaitRequest returns a copy of a request's result for another entry, or nil
// if ctx ends first.
func (e *Entry) awaitRequest(ctx context.Context, r *request) wire.Message {
	select {
	case <-r.done:
		result := *r.result
		result.Customer = r.customer
		return &result
	case <-ctx.Done():
		return nil
	}
}

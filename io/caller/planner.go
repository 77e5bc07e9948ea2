package caller

import (
	"context"
	"time"

	"bramleythread/core/plan"
	"bramleythread/io/platform"
)

// Timing of the planning loop.
const (
	planInterval       = 250 * time.Millisecond
	workerLostAfter    = 10 * time.Second // a worker not ready for so long loses its homes
	inheritedPlanGrace = 5 * time.Second  // after the start, before an inherited plan is replaced
)

// plannerState is the state of the planning loop, which alone accesses it.
type plannerState struct {
	lastRead          time.Time // last read of the configuration and plan rows
	revision          uint64    // of the plan row as last read
	revisionKnown     bool      // revision has been read since the last failure or write
	started           time.Time
	unreadableVersion uint64 // configuration version last logged as unreadable
	inherited         bool   // a plan existed at the start
}

// replan stores a new plan if the one in force no longer fits the configuration
// or the fleet. Of entries that do so concurrently, only one succeeds: the write
// is conditional on the revision of the plan row.
func (e *Entry) replan() {
	now := clock()
	cfg, version := e.configCache.Config()
	if cfg == nil || !e.planState.revisionKnown || e.configCache.Behind() {
		return
	}
	old := e.configCache.Plan()
	if e.planState.started.IsZero() {
		e.planState.started = now
		e.planState.inherited = old != nil
	}
	if e.planState.inherited && now.Sub(e.planState.started) < inheritedPlanGrace {
		// The workers of the inherited plan may not have reported yet.
		return
	}
	if old != nil && old.ConfigVersion >= version && !e.hasLostHome(old, now) && len(old.Missing) == 0 {
		return
	}
	next := plan.Make(cfg, version, e.fleet(now), old)
	if old != nil && old.ConfigVersion >= version && plan.SameHomes(old, next) {
		return
	}
	e.storePlan(next)
}

// hasLostHome reports whether any worker with a home is no longer in the fleet. A
// home is a placement that the plan reserves for a guarantee.
func (e *Entry) hasLostHome(old *plan.Plan, now time.Time) bool {
	alive := make(map[string]bool)
	for _, w := range e.fleet(now) {
		alive[w.Name] = true
	}
	for _, h := range old.Homes {
		for _, name := range h.Workers {
			if !alive[name] {
				return true
			}
		}
	}
	return false
}

// fleet returns the workers that a plan may use: those that this or another entry
// has seen ready within workerLostAfter.
func (e *Entry) fleet(now time.Time) []plan.Worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := now.Add(-workerLostAfter)
	return e.sched.Fleet(since, func(worker string) bool {
		return !e.seenByPeers[worker].Before(since)
	})
}

func (e *Entry) storePlan(next *plan.Plan) {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	err := platform.StorePlan(ctx, e.cfg.Store, e.planState.revision, next)
	e.planState.revisionKnown = false
	e.planState.lastRead = time.Time{}
	if err != nil {
		e.cfg.Log.Warn().Err(err).Uint64("plan_version", next.Version).Msg("plan_not_stored")
		return
	}
	e.cfg.Log.Info().
		Uint64("plan_version", next.Version).
		Uint64("config_version", next.ConfigVersion).
		Int("homes", len(next.Homes)).
		Int("missing_homes", len(next.Missing)).
		Msg("plan_stored")
	newPlan, err := e.configCache.UpdatePlan(*next)
	if err == nil {
		e.applyUpdate(false, newPlan, "own")
	}
}

package caller

import (
	"context"
	"time"

	"bramleythread/core/plan"
	"bramleythread/io/platform"
)

// Intervals of the planning.
const (
	planInterval = 250 * time.Millisecond
	lostAfter    = 10 * time.Second // without a report, a worker's homes move
	settleTime   = 5 * time.Second  // after the start, before homes are moved
)

// planner is the state of the planning loop. Only that loop uses it.
type planner struct {
	read       time.Time // of the last read of the rows
	revision   uint64    // of the plan row
	known      bool      // revision is fresh
	started    time.Time
	unreadable uint64 // configuration version that was last logged as such
	inherited  bool   // a plan was there at the start
}

// replan stores a new plan if the one in force no longer fits the
// configuration or the fleet. Of the entries that try at once, one wins.
func (e *Entry) replan() {
	now := clock()
	cfg, version := e.keeper.Config()
	if cfg == nil || !e.planned.known || e.keeper.Behind() {
		return
	}
	old := e.keeper.Plan()
	if e.planned.started.IsZero() {
		e.planned.started = now
		e.planned.inherited = old != nil
	}
	if e.planned.inherited && now.Sub(e.planned.started) < settleTime {
		// The workers of the old plan may not have had the time to report.
		return
	}
	if old != nil && old.ConfigVersion >= version && !e.homesLost(old, now) && len(old.Missing) == 0 {
		return
	}
	next := plan.Make(cfg, version, e.fleet(now), old)
	if old != nil && old.ConfigVersion >= version && plan.SameHomes(old, next) {
		return
	}
	e.storePlan(next)
}

// homesLost reports whether a worker that carries a home is lost.
func (e *Entry) homesLost(old *plan.Plan, now time.Time) bool {
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

// fleet returns the workers that a plan may use: those that this entry or
// another one has heard of lately.
func (e *Entry) fleet(now time.Time) []plan.Worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := now.Add(-lostAfter)
	return e.sched.Fleet(since, func(worker string) bool {
		return !e.seen[worker].Before(since)
	})
}

func (e *Entry) storePlan(next *plan.Plan) {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	err := platform.StorePlan(ctx, e.cfg.Store, e.planned.revision, next)
	e.planned.known = false
	e.planned.read = time.Time{}
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
	newPlan, err := e.keeper.UpdatePlan(*next)
	if err == nil {
		e.adopt(false, newPlan, "own")
	}
}

package job

import (
	"maps"
	"slices"
	"time"

	"bramleythread/io/wire"
)

// Evacuation of an availability zone. An operator requires that from a given time on
// nothing is started in a zone, while work that runs there continues. The load is a
// site that loses a quarter of its workers to this at once, often while others of them
// are cold, with urgent work waiting whose guarantees hold on the remaining zones.
//
// The limit of an evacuation is divided: two fifths for the age of the scheduler's
// knowledge when it sends an order, two fifths for the permission with which the agent
// carries the order out, and the rest for the call to the worker.
const (
	maxEvacuationAgeShare     = 0.4
	evacuationPermissionShare = 0.4
)

// MaxEvacuationAge returns the greatest age of the evacuation state at which starts
// are ordered, for the limit of an evacuation.
func MaxEvacuationAge(limit time.Duration) time.Duration {
	return time.Duration(maxEvacuationAgeShare * float64(limit))
}

// EvacuationPermission returns how long after its last report an agent may begin a start
// that is ordered, for the limit of an evacuation.
func EvacuationPermission(limit time.Duration) time.Duration {
	return time.Duration(evacuationPermissionShare * float64(limit))
}

// Evacuation is the set of evacuated zones as stored. The zero value means that it
// has not been read.
type Evacuation struct {
	Read  bool
	Zones map[string]time.Time // when this process learned of each; must not be changed
	Age   time.Duration        // since Zones was known to be what is stored
}

// evacuation is the evacuation state of the engine.
type evacuation struct {
	Evacuation
	setAt   time.Time       // when Age was measured
	current bool            // recent enough for placement and orders
	missing map[string]bool // evacuated zones that were found to have no worker
}

// SetEvacuated replaces the set of evacuated zones. Call it before each Tick, and
// before Orders when orders are sent, since the age of the set limits both.
func (e *Engine) SetEvacuated(ev Evacuation, now time.Time) {
	was := e.evacuation.current
	limit := e.cfg.EvacuationLimit
	e.evacuation.Evacuation, e.evacuation.setAt = ev, now
	e.evacuation.current = limit <= 0 || ev.Read && ev.Age <= MaxEvacuationAge(limit)
	if was == e.evacuation.current {
		return
	}
	if was {
		e.recordDecision(Decision{Kind: "placement_paused", Reason: "evacuation_state_outdated", Age: ev.Age})
		return
	}
	e.recordDecision(Decision{Kind: "placement_resumed", Reason: "evacuation_state_current", Age: ev.Age})
	for _, w := range e.workers { // starts may have been withheld
		w.dirty = true
	}
}

// evacuated reports whether the worker is in an evacuated zone.
func (e *Engine) evacuated(w *Worker) bool {
	_, ok := e.evacuation.Zones[w.Zone]
	return ok
}

// maySendStarts reports whether orders to start runs may be sent to the worker.
func (e *Engine) maySendStarts(w *Worker) bool {
	return w.State == wire.WorkerReady && e.evacuation.current && !e.evacuated(w)
}

// evacuateWorkers releases the room and the tickets of stages on workers in evacuated
// zones and stops the runs there that have not started. Such a run is placed elsewhere
// once its end is reported, so that it cannot start twice. A gang that has a member
// among them is stopped as a whole.
func (e *Engine) evacuateWorkers(now time.Time) {
	e.reportZonesWithoutWorkers(now)
	if len(e.evacuation.Zones) == 0 {
		return
	}
	for s := range e.holders {
		for w := range s.heldTasks {
			if e.evacuated(w) {
				e.releaseHold(s) // the other workers alone have too little room
				break
			}
		}
	}
	for _, w := range e.sortedWorkers {
		if !e.evacuated(w) {
			continue
		}
		e.dropTickets(w)
		for _, r := range w.sortedRuns() {
			if r.phase == ordered {
				e.recordDecision(Decision{Kind: "evacuate", Job: r.task.stage.job.ID, Task: r.task.id(), Run: r.number, Worker: w.Node, Reason: w.Zone, Age: now.Sub(r.placedAt)})
				e.stopRunOrGang(r, "zone_evacuated")
			}
		}
	}
}

// dropTickets removes all tickets for a worker. The answer that a step may not run on
// the worker remains valid.
func (e *Engine) dropTickets(w *Worker) {
	for _, j := range e.jobList {
		if j.TicketValidity == 0 || j.state.Final() {
			continue
		}
		for _, s := range j.stageList {
			if s.advice.tickets[w.ref()].text != "" {
				s.dropTicket(w)
			}
		}
	}
}

// reportZonesWithoutWorkers records, once for each evacuation, that no worker of an
// evacuated zone is known, since the zone's name may be wrong. A new scheduler waits
// for the workers' reports.
func (e *Engine) reportZonesWithoutWorkers(now time.Time) {
	maps.DeleteFunc(e.evacuation.missing, func(zone string, _ bool) bool {
		_, ok := e.evacuation.Zones[zone]
		return !ok
	})
	for _, zone := range slices.Sorted(maps.Keys(e.evacuation.Zones)) {
		since := later(e.evacuation.Zones[zone], e.createdAt)
		if e.evacuation.missing[zone] || now.Sub(since) < maxReportAge ||
			slices.ContainsFunc(e.sortedWorkers, func(w *Worker) bool { return w.Zone == zone }) {
			continue
		}
		if e.evacuation.missing == nil {
			e.evacuation.missing = make(map[string]bool)
		}
		e.evacuation.missing[zone] = true
		e.recordDecision(Decision{Kind: "evacuated_zone_without_workers", Reason: zone, Age: now.Sub(since)})
	}
}

// evacuationStatus returns the evacuation state for operators.
func (e *Engine) evacuationStatus(now time.Time) (read bool, age time.Duration, zones []wire.ZoneStatus) {
	for _, zone := range slices.Sorted(maps.Keys(e.evacuation.Zones)) {
		zones = append(zones, wire.ZoneStatus{Zone: zone, KnownFor: now.Sub(e.evacuation.Zones[zone])})
	}
	return e.evacuation.Read, e.evacuation.Age + now.Sub(e.evacuation.setAt), zones
}

// cold reports whether the worker has returned to service recently and is slow.
func (w *Worker) cold() bool { return w.ColdRemaining > 0 }

// warmerCandidates returns the candidates that are not cold, if there are others, or
// nil. Cold workers of a zone that returns to service are used after all others, so
// that the zone fills gradually.
func (e *Engine) warmerCandidates(c []candidate) []candidate {
	if e.cfg.Policy.FirstFit || !slices.ContainsFunc(c, func(x candidate) bool { return x.w.cold() }) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(c), func(x candidate) bool { return x.w.cold() })
}

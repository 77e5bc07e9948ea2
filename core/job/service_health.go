package job

import (
	"time"

	"bramleythread/io/wire"
)

// serviceHealth counts the jobs whose runs have failed at once, one after the other,
// on any worker of a service. It starts over when a run placed since the first of
// these failures has survived.
type serviceHealth struct {
	jobs      int // with a failure
	lastJob   string
	since     time.Time // the first failure
	nextProbe time.Time // no run is placed before while the service is unhealthy
}

// Limits of the health of a service.
const (
	unhealthyThreshold = 3                      // jobs in a row whose runs fail at once
	survivalTime       = 500 * time.Millisecond // several times what runs take that fail at once
)

// recordServiceFailure counts a run of a job that has failed at once on a worker of a
// service.
func (e *Engine) recordServiceFailure(service, job string, now time.Time) {
	h := e.service(service)
	if h.jobs == 0 {
		h.since = now
	}
	if job == h.lastJob {
		return
	}
	h.jobs++
	h.lastJob = job
	if h.jobs == unhealthyThreshold {
		e.recordDecision(Decision{Kind: "service_unhealthy", Job: job, Reason: service, Age: now.Sub(h.since)})
	}
}

// service returns the health of a service.
func (e *Engine) service(name string) *serviceHealth {
	h := e.services[name]
	if h == nil {
		h = new(serviceHealth)
		e.services[name] = h
	}
	return h
}

// checkSurvivors clears the early failures of services on which a later run goes on.
func (e *Engine) checkSurvivors(now time.Time) {
	for name, h := range e.services {
		if h.jobs > 0 && e.hasSurvivor(name, h.since, now) {
			e.resetService(name, now)
		}
	}
}

// recordServiceSuccess records that a run is done which cannot survive, because it is
// expected to take less than survivalTime.
func (e *Engine) recordServiceSuccess(r *run, now time.Time) {
	h := e.services[r.worker.Service]
	if h != nil && h.jobs > 0 && r.placedAt.After(h.since) && e.expectedRunTime(r.task.stage) < survivalTime {
		e.resetService(r.worker.Service, now)
	}
}

// resetService forgets the failures of a service.
func (e *Engine) resetService(name string, now time.Time) {
	h := e.services[name]
	if h.jobs >= unhealthyThreshold {
		e.recordDecision(Decision{Kind: "service_recovered", Job: h.lastJob, Reason: name, Age: now.Sub(h.since)})
	}
	h.jobs, h.lastJob = 0, ""
}

// hasSurvivor reports whether the workers of a service list a run that was placed after
// a time and has gone on for survivalTime.
func (e *Engine) hasSurvivor(service string, since, now time.Time) bool {
	for _, w := range e.sortedWorkers {
		if w.Service != service {
			continue
		}
		for _, r := range w.runs {
			if r.placedAt.After(since) && r.phase == started && now.Sub(r.startedAt) >= survivalTime && w.lastReport.Sub(r.startedAt) >= survivalTime {
				return true
			}
		}
	}
	return false
}

// findUnhealthyServices finds the services on which new runs have failed at once for
// several jobs in a row, and those that have ready workers but none that may get
// several runs at once.
func (e *Engine) findUnhealthyServices(now time.Time) {
	clear(e.unhealthyServices)
	e.checkSurvivors(now)
	for _, w := range e.sortedWorkers {
		if w.reported && w.State == wire.WorkerReady && now.Sub(w.lastReport) <= maxReportAge && !e.evacuated(w) {
			unhealthy, seen := e.unhealthyServices[w.Service]
			e.unhealthyServices[w.Service] = (unhealthy || !seen) && (!w.health.usable(now) || w.health.triesOne())
		}
	}
	for name, h := range e.services {
		if h.jobs >= unhealthyThreshold {
			e.unhealthyServices[name] = true
		}
	}
}

// admitsRuns reports whether the health of a worker and of its service permits new
// runs. A service whose workers all fail is probed from time to time only, so that
// jobs do not spend their attempts on it.
func (e *Engine) admitsRuns(w *Worker, now time.Time) bool {
	switch {
	case e.cfg.Policy.NoEjection:
		return true
	case !e.unhealthyServices[w.Service]:
		return w.health.usable(now)
	default:
		return !now.Before(e.service(w.Service).nextProbe) && (w.health.usable(now) || w.health.usableAsLastResort(now))
	}
}

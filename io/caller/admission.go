package caller

import (
	"cmp"
	"strings"
	"sync/atomic"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
)

// revocationMargin is subtracted from the revocation limit, the time for which a
// revoked token may still be accepted. A watch that has lost its history may
// have been silent for a second, and handling a request takes time. At most half
// of the limit is subtracted, so that something is left of a short one.
const revocationMargin = 1500 * time.Millisecond

// defaultRevocationLimit applies if the settings name none.
const defaultRevocationLimit = 5 * time.Second

// RevocationLimit returns the limit in force for the limit that the settings name, or
// 0 if there is none.
func RevocationLimit(named time.Duration, strict bool) time.Duration {
	if !strict {
		return 0
	}
	return cmp.Or(named, defaultRevocationLimit)
}

// maxConfigAge returns the greatest age of a configuration that admits requests.
func maxConfigAge(revocationLimit time.Duration) time.Duration {
	return revocationLimit - min(revocationMargin, revocationLimit/2)
}

// PollWait returns the duration of a long poll for the configuration and the
// evacuated zones, such that they are recent enough in between for requests to be
// admitted and for tasks to be placed. A limit of 0 does not apply.
func PollWait(revocationLimit, evacuationLimit time.Duration) time.Duration {
	wait := maxPollWait
	if revocationLimit > 0 {
		wait = min(wait, maxConfigAge(revocationLimit)*3/7) // the age reaches twice the wait and a response
	}
	if evacuationLimit > 0 {
		// No task is placed meanwhile if the age exceeds its limit, so this leaves
		// a fifth of it for each of two responses of a slow store.
		wait = min(wait, job.MaxEvacuationAge(evacuationLimit)*3/10)
	}
	return wait
}

// maxReadyConfigAge is the configuration age up to which an entry reports ready:
// one long poll plus the time allowed for a slow response.
const maxReadyConfigAge = maxPollWait + catalogResponseMargin

// storeOutageGrace is how long the store may fail before the entry reports not
// ready. A single lost response is no reason to divert callers.
const storeOutageGrace = 300 * time.Millisecond

// AdmissionController routes requests to queues and authenticates their callers
// against the current catalog. It also reports whether the entry is ready.
type AdmissionController struct {
	catalog    *Catalog
	health     *platform.Health
	revocation atomic.Int64 // revocation limit in nanoseconds
	stopping   atomic.Bool
}

// NewAdmissionController returns an AdmissionController for a catalog. A revoked
// token may still be accepted for the given revocation limit, or for any time if it
// is 0.
func NewAdmissionController(c *Catalog, h *platform.Health, revocation time.Duration) *AdmissionController {
	a := &AdmissionController{catalog: c, health: h}
	a.SetRevocationLimit(revocation)
	return a
}

// SetRevocationLimit changes how long a revoked token may still be accepted.
func (a *AdmissionController) SetRevocationLimit(limit time.Duration) {
	a.revocation.Store(int64(limit))
}

// Admission describes an admitted request.
type Admission struct {
	Queue         job.Queue
	ConfigVersion uint64        // configuration that admitted the request
	ConfigAge     time.Duration // time since that configuration was confirmed as the newest
	Customer      string        // empty for a public queue without a valid token
	JobID         string        // rest of the path after the queue's prefix; not validated
	BodyLimit     int64         // maximum body size in bytes
}

// StaleConfigError means that the known configuration is missing or too old to
// admit requests.
type StaleConfigError struct{ Age time.Duration }

// Error returns the message sent to the caller.
func (e *StaleConfigError) Error() string { return "the configuration in force is not known" }

// InvalidTokenError means that a token does not belong to a customer.
type InvalidTokenError struct{}

// Error returns the message sent to the caller.
func (e *InvalidTokenError) Error() string { return "the token is not that of a customer" }

// UnknownQueueError means that no queue, or no job of a queue, exists at a path.
type UnknownQueueError struct{ Path string }

// Error returns the message sent to the caller.
func (e *UnknownQueueError) Error() string { return "there is no queue at " + e.Path }

// Admit authenticates and routes a request. While the configuration is stale it
// returns a StaleConfigError, rather than accept a token or report a queue or
// token as unknown.
func (a *AdmissionController) Admit(host, path, token string) (Admission, error) {
	c, age := a.catalog.Get()
	if limit := time.Duration(a.revocation.Load()); c == nil || limit > 0 && age > maxConfigAge(limit) {
		return Admission{}, &StaleConfigError{Age: age}
	}
	q := c.Route(host, path)
	if q == nil {
		return Admission{}, &UnknownQueueError{Path: path}
	}
	customer, known := c.Customer(token)
	if !known && !q.Public {
		return Admission{}, &InvalidTokenError{}
	}
	return Admission{
		Queue: *q, ConfigVersion: c.Version, ConfigAge: age, Customer: customer,
		JobID: strings.TrimPrefix(path, q.Prefix), BodyLimit: c.BodyLimit,
	}, nil
}

// StopReadiness makes Ready report false. Requests are still admitted.
func (a *AdmissionController) StopReadiness() { a.stopping.Store(true) }

// Stopping reports whether StopReadiness was called.
func (a *AdmissionController) Stopping() bool { return a.stopping.Load() }

// Ready reports whether the entry should receive requests. It can accept jobs
// only while the store responds.
func (a *AdmissionController) Ready() bool {
	if since, failing := a.health.OutageDuration(); failing && since > storeOutageGrace {
		return false
	}
	c, age := a.catalog.Get()
	return c != nil && age <= maxReadyConfigAge && !a.stopping.Load()
}

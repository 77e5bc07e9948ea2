package caller

import (
	"strings"
	"sync/atomic"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
)

// tokenMargin is kept of the time for which a withdrawn token may be accepted.
// A feed that has lost its history may have been silent for a second, and a
// request takes some time to be handled.
const tokenMargin = 1500 * time.Millisecond

// readyAge is the age of the configuration up to which an entry asks for
// requests: one long poll and the time that a slow answer may take.
const readyAge = catalogWait + catalogMargin

// storeGrace is the time for which a store that does not answer is taken to be
// slow only: a single lost answer is no reason to send callers elsewhere.
const storeGrace = 300 * time.Millisecond

// AdmissionController decides which requests are let in.
type AdmissionController struct {
	catalog    *Catalog
	health     *platform.Health
	revocation atomic.Int64 // a withdrawn token may be accepted for so long, in nanoseconds
	stopping   atomic.Bool
}

// NewAdmissionController returns a door that lets in what a catalog allows. A withdrawn token
// may be accepted for the time of revocation.
func NewAdmissionController(c *Catalog, h *platform.Health, revocation time.Duration) *AdmissionController {
	d := &AdmissionController{catalog: c, health: h}
	d.SetRevocationLimit(revocation)
	return d
}

// SetRevocationLimit changes the time for which a withdrawn token may be accepted.
func (d *AdmissionController) SetRevocationLimit(limit time.Duration) {
	d.revocation.Store(int64(limit))
}

// Admission is a request that is let in.
type Admission struct {
	Queue         job.Queue
	ConfigVersion uint64        // of the configuration that let it in
	ConfigAge     time.Duration // of the knowledge that it is the newest
	Customer      string        // empty at a public queue without a token
	JobID         string        // of the path, after the queue's prefix
	BodyLimit     int64         // bytes of the body
}

// StaleConfigError tells that the configuration in force is not known.
type StaleConfigError struct{ Age time.Duration }

// Error describes the error.
func (e *StaleConfigError) Error() string { return "the configuration in force is not known" }

// InvalidTokenError tells that a token is not that of a customer.
type InvalidTokenError struct{}

// Error describes the error.
func (e *InvalidTokenError) Error() string { return "the token is not that of a customer" }

// UnknownQueueError tells that there is no such queue.
type UnknownQueueError struct{ Path string }

// Error describes the error.
func (e *UnknownQueueError) Error() string { return "there is no queue at " + e.Path }

// Admit lets a request in. A token is honoured, and a queue or token said not to
// exist, only while the configuration is known to be fresh.
func (d *AdmissionController) Admit(host, path, token string) (Admission, error) {
	c, age := d.catalog.Get()
	if c == nil || age > time.Duration(d.revocation.Load())-tokenMargin {
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

// StopReadiness makes the door ask for no more requests. It still lets in what comes.
func (d *AdmissionController) StopReadiness() { d.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (d *AdmissionController) Stopping() bool { return d.stopping.Load() }

// Ready reports whether the entry wants requests: it can accept jobs only while
// the store answers.
func (d *AdmissionController) Ready() bool {
	if since, failing := d.health.OutageDuration(); failing && since > storeGrace {
		return false
	}
	c, age := d.catalog.Get()
	return c != nil && age <= readyAge && !d.stopping.Load()
}

package entry

import (
	"sync"
	"time"

	"bramleythread/core/worker"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// attempt is one attempt at a request on this worker, from its admission until
// its result is no longer retained.
type attempt struct {
	id         worker.ID
	run        wire.RunRequest
	entry      string // name of the entry that sent it
	claimKey   string // empty if the request may be repeated
	receivedAt time.Time
	deadline   time.Time

	// State of a gang member, guarded by the agent's mutex.
	member   bool
	prepared bool // the lead has asked to load the task
	rank     int
	size     int
	lead     *frame.Conn   // connection to the lead; nil on the lead itself
	released chan struct{} // closed when the member starts

	ready         chan struct{} // closed when the resources are available
	stopRequested chan struct{} // closed when the attempt must not start or must stop
	abandoned     chan struct{} // closed when the upstream's answer is no longer awaited
	finished      chan struct{} // closed when result is set

	mu          sync.Mutex
	isReady     bool
	stopCause   wire.Reason // why stopRequested was closed
	started     bool
	startedAt   time.Time
	isAbandoned bool
	result      *wire.Result
	endedAt     time.Time
}

func newAttempt(run wire.RunRequest, entry string, now time.Time) *attempt {
	att := &attempt{
		id:            worker.ID{Request: run.Request, Attempt: run.Attempt},
		run:           run,
		entry:         entry,
		receivedAt:    now,
		deadline:      now.Add(run.Timeout),
		ready:         make(chan struct{}),
		stopRequested: make(chan struct{}),
		abandoned:     make(chan struct{}),
		released:      make(chan struct{}),
		size:          1,
		finished:      make(chan struct{}),
	}
	if !run.Repeatable && run.Key != "" {
		att.claimKey = platform.ClaimKey(run.Customer, run.Service, run.Key)
	}
	return att
}

func (att *attempt) setReady() {
	att.mu.Lock()
	defer att.mu.Unlock()
	if !att.isReady {
		att.isReady = true
		close(att.ready)
	}
}

// requestStop prevents the attempt from starting, or marks it as stopping if it
// runs. In the second case the caller stops the task on the upstream.
func (att *attempt) requestStop(reason wire.Reason) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.stopCause == wire.ReasonNone {
		att.stopCause = reason
		close(att.stopRequested)
	}
}

// markStarted marks the attempt as started. It returns false and the reason if a
// stop was requested or the deadline has passed.
func (att *attempt) markStarted(now time.Time) (wire.Reason, bool) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.stopCause != wire.ReasonNone {
		return att.stopCause, false
	}
	if !now.Before(att.deadline) {
		return wire.ReasonExpired, false
	}
	att.started = true
	att.startedAt = now
	return wire.ReasonNone, true
}

func (att *attempt) hasStarted() bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.started
}

// stopReason returns the reason of the requested stop, or ReasonNone.
func (att *attempt) stopReason() wire.Reason {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.stopCause
}

// runTime returns the time since the attempt started, or 0.
func (att *attempt) runTime(now time.Time) time.Duration {
	att.mu.Lock()
	defer att.mu.Unlock()
	if !att.started {
		return 0
	}
	return now.Sub(att.startedAt)
}

// abandonAfter stops waiting for the upstream's answer after the given time.
func (att *attempt) abandonAfter(d time.Duration) {
	time.AfterFunc(d, att.abandon)
}

// abandon stops waiting for the upstream's answer.
func (att *attempt) abandon() {
	att.mu.Lock()
	defer att.mu.Unlock()
	if !att.isAbandoned {
		att.isAbandoned = true
		close(att.abandoned)
	}
}

// claimToken returns the token that identifies the attempt in claims. It includes
// the incarnation to distinguish the attempts of this process from those of a
// process that ran before it.
func (a *Agent) claimToken(id worker.ID) string {
	return formatToken(a.cfg.Name, a.cfg.Incarnation, id)
}

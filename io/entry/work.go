package entry

import (
	"sync"
	"time"

	"bramleythread/core/worker"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

// work is one attempt at a request on this worker, from its admission until
// its result is no longer kept.
type work struct {
	id       worker.ID
	run      wire.RunRequest
	entry    string
	claimKey string // empty for work that may be repeated
	received time.Time
	deadline time.Time

	// Of a gang's member. Guarded by the agent's mutex.
	member    bool
	executing bool // parked, or about to be
	rank      int
	size      int
	lead      *frame.Conn   // nil on the lead itself
	released  chan struct{} // closed when the member starts

	ready    chan struct{} // closed when the resources are there
	halt     chan struct{} // closed when the work must not start or must stop
	lost     chan struct{} // closed when the upstream's answer is given up
	finished chan struct{} // closed when result is set

	mu        sync.Mutex
	isReady   bool
	reason    wire.Reason // of the halt
	started   bool
	startedAt time.Time
	isLost    bool
	result    *wire.Result
	ended     time.Time
}

func newWork(run wire.RunRequest, entry string, now time.Time) *work {
	w := &work{
		id:       worker.ID{Request: run.Request, Attempt: run.Attempt},
		run:      run,
		entry:    entry,
		received: now,
		deadline: now.Add(run.Timeout),
		ready:    make(chan struct{}),
		halt:     make(chan struct{}),
		lost:     make(chan struct{}),
		released: make(chan struct{}),
		size:     1,
		finished: make(chan struct{}),
	}
	if !run.Repeatable && run.Key != "" {
		w.claimKey = platform.ClaimKey(run.Customer, run.Service, run.Key)
	}
	return w
}

func (w *work) setReady() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isReady {
		w.isReady = true
		close(w.ready)
	}
}

// stop keeps the work from starting. Work that runs learns of it too, but is
// stopped on the upstream by the caller.
func (w *work) stop(reason wire.Reason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reason == wire.ReasonNone {
		w.reason = reason
		close(w.halt)
	}
}

// begin marks the work as started. It fails, with the reason, if the work has
// been halted or its deadline has passed.
func (w *work) begin(now time.Time) (wire.Reason, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reason != wire.ReasonNone {
		return w.reason, false
	}
	if !now.Before(w.deadline) {
		return wire.ReasonExpired, false
	}
	w.started = true
	w.startedAt = now
	return wire.ReasonNone, true
}

func (w *work) hasStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// haltReason returns why the work was halted, or ReasonNone.
func (w *work) haltReason() wire.Reason {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}

// attained returns how long the work has run.
func (w *work) attained(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.started {
		return 0
	}
	return now.Sub(w.startedAt)
}

// abandonAfter gives up the upstream's answer after the given time.
func (w *work) abandonAfter(d time.Duration) {
	time.AfterFunc(d, w.abandon)
}

// abandon gives up the upstream's answer.
func (w *work) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isLost {
		w.isLost = true
		close(w.lost)
	}
}

// token names the attempt in claims. The incarnation tells attempts of a
// process that has died from those of the one that runs.
func (a *Agent) token(id worker.ID) string {
	return tokenOf(a.cfg.Name, a.cfg.Incarnation, id)
}

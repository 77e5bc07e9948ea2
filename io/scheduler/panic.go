package scheduler

import (
	"fmt"
	"runtime/debug"
	"time"
)

// panicPause is how long a candidate leaves the lease to others after its term
// has ended by a panic.
const panicPause = time.Second

// PanicError means that a term as the scheduler was ended by a panic. What the
// term had not committed is lost, and the next one continues from the stored rows.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("scheduler: panic: %v", e.Value) }

// start runs f in a goroutine that close waits for. A panic of f ends the term.
func (h *holder) start(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer func() {
			if v := recover(); v != nil {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.fail(v)
			}
		}()
		f()
	}()
}

// recoverPanic, when deferred by a function that holds mu, ends the term if the
// function panics. The failure is recorded before mu is released, so that nothing
// is committed from tables that may be inconsistent.
func (h *holder) recoverPanic() {
	if v := recover(); v != nil {
		h.fail(v)
	}
}

// fail ends the term because of a panic. The caller holds mu.
func (h *holder) fail(panicked any) {
	err := &PanicError{Value: panicked, Stack: debug.Stack()}
	h.cfg.Log.Error().Uint64("epoch", h.writer.lease.Epoch).Err(err).Bytes("stack", err.Stack).Msg("term_failed")
	if h.failure == nil {
		h.failure = err
	}
	if h.cancelRun != nil {
		h.cancelRun()
	}
}

// termFailure returns the unexpected error that ended the term, or nil.
func (h *holder) termFailure() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

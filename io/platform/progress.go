package platform

import (
	"context"
	"fmt"
	"time"
)

// IdleError is the cause of a context that WithIdleTimeout has ended.
type IdleError struct{ Limit time.Duration }

// Error names the limit.
func (e *IdleError) Error() string { return fmt.Sprintf("no progress for %v", e.Limit) }

type progressKey struct{}

// WithIdleTimeout returns a context that ends after first, and after idle once the
// first progress has been reported. It limits how long a peer may be silent. The time
// that a whole message takes depends on its size and on the link, and has no limit.
func WithIdleTimeout(parent context.Context, first, idle time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := time.AfterFunc(first, func() { cancel(&IdleError{Limit: idle}) })
	stop := func() {
		t.Stop()
		cancel(context.Canceled)
	}
	outer, _ := parent.Value(progressKey{}).(func())
	progress := func() {
		if ctx.Err() == nil {
			t.Reset(idle)
		}
		if outer != nil {
			outer()
		}
	}
	return context.WithValue(ctx, progressKey{}, progress), stop
}

// ReportProgress extends the idle timeouts of a context. A client calls it for each part
// of a response.
func ReportProgress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}

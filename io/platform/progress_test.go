package platform

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestIdleTimeout guards against a call that ends while its response arrives, and against
// one that waits for a silent peer for ever. The timeouts of an enclosing call count the
// same progress.
func TestIdleTimeout(t *testing.T) {
	const idle = 300 * time.Millisecond
	is := is.New(t)
	outer, stop := WithIdleTimeout(context.Background(), idle, idle)
	defer stop()
	ctx, cancel := WithIdleTimeout(outer, idle, idle)
	defer cancel()
	for range 30 {
		time.Sleep(idle / 15)
		ReportProgress(ctx)
	}
	is.NoErr(ctx.Err())
	is.NoErr(outer.Err())
	<-ctx.Done()
	<-outer.Done()
	var silent *IdleError
	is.True(errors.As(context.Cause(ctx), &silent))
	is.True(errors.As(context.Cause(outer), &silent))
}

// TestSilentStoreIsAnOutage guards against an outage that is not noticed: a call that an
// idle timeout ends has failed, and is not one that its caller has given up.
func TestSilentStoreIsAnOutage(t *testing.T) {
	tests := map[string]struct {
		ctx    func() (context.Context, context.CancelFunc)
		outage bool
	}{
		"silent": {outage: true, ctx: func() (context.Context, context.CancelFunc) {
			return WithIdleTimeout(context.Background(), time.Millisecond, time.Millisecond)
		}},
		"given up": {ctx: func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			return ctx, cancel
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHealth(Store{Get: func(ctx context.Context, _ string) (Row, error) {
				<-ctx.Done()
				return Row{}, &UnavailableError{Op: "get", Cause: ctx.Err()}
			}}, zerolog.Nop(), prometheus.NewRegistry())
			ctx, cancel := tt.ctx()
			defer cancel()
			_, err := h.MonitoredStore().Get(ctx, "k")
			is.True(err != nil)
			_, failing := h.OutageDuration()
			is.Equal(failing, tt.outage)
		})
	}
}

package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestOrdersNeedCurrentCancellations guards against a start of a cancelled job by an order
// that nobody can take back: each order limits the time of its starts, and one that is
// sent while the scheduler may not know of all cancellations holds none.
func TestOrdersNeedCurrentCancellations(t *testing.T) {
	const limit = 3 * time.Second
	tests := map[string]struct {
		limit  time.Duration
		silent bool // the store does not answer the polls of the job table
		sent   bool
	}{
		"store answers":          {limit: limit, sent: true},
		"store silent":           {limit: limit, silent: true},
		"store silent, no limit": {silent: true, sent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var skipped atomic.Int64
			var silent atomic.Bool
			answers := make(chan struct{})
			store := platform.NewStandin().Store()
			watch := store.Watch
			polls := store
			polls.Watch = func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
				if table == TableJob && silent.Load() {
					select {
					case <-ctx.Done():
					case <-answers:
					}
					return platform.Changes{}, &platform.UnavailableError{Op: "watch"}
				}
				return watch(ctx, table, after, wait)
			}
			c := startCandidate(t, polls, func(cfg *Config) {
				cfg.CancelLimit = tt.limit
				cfg.BootTime = func() time.Duration { return platform.BootTime() + time.Duration(skipped.Load()) }
			})
			agent := dialAgent(t, waitLease(t, store, func(wire.SchedulerLease) bool { return true }))
			report := &wire.WorkerReport{Node: "side-0", Worker: wire.WorkerInfo{
				Instance: "i-1", Born: 1, Service: "s", State: wire.WorkerReady, Capacity: wire.Resources{CPU: 8000},
			}}
			next := func(ok func(o *wire.WorkerOrders) bool) *wire.WorkerOrders {
				t.Helper()
				for {
					report.Sequence++
					report.Sent += time.Second
					is.NoErr(agent.conn.Send(report))
					for o := range agent.orders {
						if ok(o) {
							return o
						}
						if o.LastReportSent == report.Sent {
							break
						}
					}
				}
			}
			lists := func(n int) func(o *wire.WorkerOrders) bool {
				return func(o *wire.WorkerOrders) bool { return o.LastReportSent > 0 && len(o.Starts) == n }
			}
			next(lists(0))
			_, err := c.Call(context.Background(), &wire.SubmitJob{Job: wire.Job{
				ID: "00000000000000aa", Queue: "q", Service: "s", Attempts: 1, Stretch: 1, Accepted: time.Now(),
				Steps: []wire.JobStep{{Count: 1, Demand: wire.Resources{CPU: 1000}}},
			}})
			is.NoErr(err)
			o := next(lists(1))
			is.Equal(o.StartPermission > 0, tt.limit > 0)
			is.True(o.StartPermission*3/2 < limit) // with the call to the worker
			if tt.silent {
				silent.Store(true)
				skipped.Store(int64(2 * time.Second))
			}
			if tt.sent {
				next(lists(1))
				return
			}
			next(lists(0))
			silent.Store(false)
			close(answers)
			next(lists(1)) // once the cancellations are known again
		})
	}
}

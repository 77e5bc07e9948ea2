package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestOrdersNeedCurrentEvacuationState guards against an order to start that is sent
// when the evacuated zones are not known any more, although the run was placed in time,
// and against a start without the permission that bounds it.
func TestOrdersNeedCurrentEvacuationState(t *testing.T) {
	const limit = 5 * time.Second
	tests := map[string]struct {
		limit time.Duration
		state job.Evacuation // once the run is ordered
		sent  bool
	}{
		"current":            {limit: limit, state: job.Evacuation{Read: true, Age: time.Second}, sent: true},
		"outdated":           {limit: limit, state: job.Evacuation{Read: true, Age: limit / 2}},
		"evacuated":          {limit: limit, state: job.Evacuation{Read: true, Zones: map[string]time.Time{"z": {}}}},
		"outdated, no limit": {state: job.Evacuation{Read: true, Age: limit / 2}, sent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var state atomic.Pointer[job.Evacuation]
			state.Store(&job.Evacuation{Read: true})
			store := platform.NewStandin().Store()
			c := startCandidate(t, store, func(cfg *Config) {
				cfg.Engine.EvacuationLimit = tt.limit
				cfg.Evacuation = func() job.Evacuation { return *state.Load() }
			})
			agent := dialAgent(t, waitLease(t, store, func(wire.SchedulerLease) bool { return true }))
			report := &wire.WorkerReport{Sent: time.Second, Node: "side-0", Worker: wire.WorkerInfo{
				Instance: "i-1", Born: 1, Service: "s", Zone: "z", State: wire.WorkerReady, Capacity: wire.Resources{CPU: 8000},
			}}
			next := func(ok func(o *wire.WorkerOrders) bool) *wire.WorkerOrders {
				t.Helper()
				report.Sequence++
				report.Sent += time.Second
				is.NoErr(agent.conn.Send(report))
				for o := range agent.orders {
					if ok(o) {
						return o
					}
				}
				return nil
			}
			next(func(*wire.WorkerOrders) bool { return true })
			_, err := c.Call(context.Background(), &wire.SubmitJob{Job: wire.Job{
				ID: "00000000000000aa", Queue: "q", Service: "s", Attempts: 1, Stretch: 1, Accepted: time.Now(),
				Steps: []wire.JobStep{{Count: 1, Demand: wire.Resources{CPU: 1000}}},
			}})
			is.NoErr(err)
			o := next(func(o *wire.WorkerOrders) bool { return len(o.Starts) == 1 })
			is.Equal(o.StartPermission, tt.limit*2/5)
			state.Store(&tt.state)
			o = next(func(o *wire.WorkerOrders) bool { return o.LastReportSent == report.Sent })
			is.Equal(len(o.Starts) == 1, tt.sent)
		})
	}
}

package job

import (
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestBurstOfOneCustomerWaits plays a customer whose burst fills all workers and has
// more work waiting when another customer submits a job. It guards against the other
// customer waiting for the whole burst, and against an order that changes where
// customers do not compete or a guarantee applies.
func TestBurstOfOneCustomerWaits(t *testing.T) {
	tests := map[string]struct {
		other      string // customer of the later job
		priority   int
		guaranteed int // accelerators of the customer with the burst
		policy     Policy
		service    bool   // whether the waiting job is long-running
		first      string // job that gets the free room
	}{
		"another customer":           {other: "other", priority: 1, first: "later"},
		"the same customer":          {other: "c", priority: 1, first: "waiting"},
		"a guarantee in proportion":  {other: "other", priority: 1, guaranteed: 10000, first: "waiting"},
		"urgent":                     {other: "other", priority: 0, first: "later"},
		"urgent within a guarantee":  {other: "other", priority: 0, guaranteed: 16, first: "waiting"},
		"long-running work":          {other: "other", priority: 1, service: true, first: "waiting"},
		"without shares":             {other: "other", priority: 1, policy: Policy{NoShares: true}, first: "waiting"},
		"without shares, urgent too": {other: "other", priority: 0, policy: Policy{NoShares: true}, first: "waiting"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.e.cfg.Policy = tt.policy
			f.workers(1)
			f.e.SetGuarantees(map[string]int{"c": tt.guaranteed})
			f.e.Submit(f.job("burst", 1, step(1, 8)), f.now)
			f.tick()
			for range 20 {
				f.now = f.now.Add(time.Second)
				f.report(node(0), nil, nil)
				f.tick()
			}
			waiting := f.job("waiting", tt.priority, step(1, 8))
			waiting.Stretch, waiting.Steps[0].LongRunning = 100, tt.service
			f.e.Submit(waiting, f.now)
			f.now = f.now.Add(200 * time.Millisecond)
			later := f.job("later", tt.priority, step(1, 8))
			later.Customer, later.Stretch = tt.other, 100
			f.e.Submit(later, f.now)
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "burst"}: wire.EndDone})
			f.tick()
			is.Equal(len(f.runs(tt.first)), 1)
		})
	}
}

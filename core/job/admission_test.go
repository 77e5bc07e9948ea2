package job

import (
	"fmt"
	"testing"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestAdmissionForecast plays a surge: the workers are full and jobs of one customer
// wait for many times the time in which a new job has any value. It guards against
// holding such a job, against refusing what may still be served, and against a forecast
// that changes the tables.
func TestAdmissionForecast(t *testing.T) {
	tests := map[string]struct {
		workers    int
		waiting    int // jobs, each of which fills a worker for 5 s
		queued     int // their priority
		priority   int
		guaranteed int // accelerators of the new job's customer
		step       wire.JobStep
		worthwhile bool
	}{
		"idle fleet":                    {workers: 2, queued: 1, priority: 1, step: step(1, 8), worthwhile: true},
		"short queue":                   {workers: 2, waiting: 6, queued: 1, priority: 1, step: step(1, 8), worthwhile: true},
		"surge":                         {workers: 2, waiting: 60, queued: 1, priority: 1, step: step(1, 8)},
		"urgent work precedes others":   {workers: 2, waiting: 60, queued: 1, step: step(1, 8), priority: 0, worthwhile: true},
		"guarantee":                     {workers: 2, waiting: 60, queued: 0, step: step(1, 8), guaranteed: 8, worthwhile: true},
		"guarantee for a part":          {workers: 2, waiting: 60, queued: 0, step: step(2, 8), guaranteed: 8},
		"no worker has reported":        {waiting: 60, queued: 1, priority: 1, step: step(1, 8), worthwhile: true},
		"larger than all workers":       {workers: 2, queued: 1, priority: 1, step: gang(3, 8), worthwhile: true},
		"long-running work":             {workers: 2, waiting: 60, queued: 1, priority: 1, step: wire.JobStep{Count: 1, LongRunning: true}, worthwhile: true},
		"waiting for more than a surge": {workers: 2, waiting: 600, queued: 1, priority: 1, step: gang(2, 8)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(tt.workers)
			f.e.SetGuarantees(map[string]int{"new": tt.guaranteed})
			for i := range tt.waiting {
				f.e.Submit(f.job(fmt.Sprint("waiting-", i), tt.queued, step(1, 8)), f.now)
			}
			f.tick()
			row := f.job("new", tt.priority, tt.step)
			row.Customer = "new"
			servedAt, worthwhile := f.e.AdmissionForecast(row, f.now)
			is.Equal(worthwhile, tt.worthwhile)
			is.True(!servedAt.Before(f.now))
			is.Equal(len(f.e.jobs), tt.waiting)
			is.True(worthwhile || servedAt.After(f.now)) // a refusal says when to try again
		})
	}
}

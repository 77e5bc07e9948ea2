package job

import (
	"fmt"
	"testing"
	"time"

	"bramleythread/core/estimate"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// benchCluster has 100 workers that are full and 300 waiting stages.
func benchCluster(busyPriority int) *testCluster {
	f := newTestCluster(nil)
	f.workers(100)
	f.e.SetGuarantees(map[string]int{"c0": 400, "busy": 1000, "c1": 16, "c2": 16})
	for i := range 100 {
		j := f.job(fmt.Sprint("busy", i), busyPriority, step(8, 1))
		j.Customer, j.Queue, j.Stretch, j.Steps[0].Estimate = "busy", fmt.Sprint("b", i%5), 100, 20*time.Second
		f.e.Submit(j, f.now)
	}
	f.tick()
	for range 2 {
		f.now = f.now.Add(500 * time.Millisecond)
		for i := range 100 {
			f.report(node(i), func(r *wire.WorkerReport) {
				for k := range r.Running {
					r.Running[k].Percent = 3 + int(f.now.Sub(testStart)/(100*time.Millisecond))
				}
			}, nil)
		}
	}
	for i := range 300 {
		s := step(1+i%3, 1+i%8)
		s.Gang = i%4 == 0
		s.SameRack = i%8 == 0
		priority := 2
		if i%5 == 0 {
			priority = 0
		}
		j := f.job(fmt.Sprint("wait", i), priority, s)
		j.Customer, j.Queue, j.Stretch, j.Objective = fmt.Sprint("c", i%10), fmt.Sprint("q", i%7), 3, 60*time.Second
		j.Steps[0].Estimate = 4 * time.Second
		if priority == 0 {
			j.Stretch, j.Objective = 1.5, 2*time.Second
		}
		f.e.Submit(j, f.now)
	}
	return f
}

// BenchmarkTick measures a tick with 100 workers and 300 waiting stages after new
// observations, while other work is urgent too or may be preempted.
func BenchmarkTick(b *testing.B) {
	for name, spread := range map[string]float64{"equal": 0, "unequal": 0.013} {
		for _, busyPriority := range []int{0, 3} {
			b.Run(fmt.Sprintf("%s/busy%d", name, busyPriority), func(b *testing.B) {
				f := benchCluster(busyPriority)
				for i := range 100 {
					id := f.e.workers[node(i)].speedKey()
					f.e.speeds.Forget(id)
					f.e.speeds.SetPrior(id, estimate.Slowness{Log: spread * float64(i-35), Sigma: 0.05})
				}
				f.e.Tick(f.now)
				b.ReportAllocs()
				for b.Loop() {
					f.e.speeds.End("none") // forecasts are computed anew
					f.e.Tick(f.now)
				}
			})
		}
	}
}

// TestGuaranteeFollowsJobs guards against a sum of a customer's urgent work that is kept
// when jobs end or arrive.
func TestGuaranteeFollowsJobs(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.SetGuarantees(map[string]int{"c": 8})
	f.e.Submit(f.job("a", 0, step(1, 8)), f.now)
	f.tick()
	is.True(f.e.withinGuarantee(f.e.jobs["a"]))
	f.e.Submit(f.job("b", 0, step(1, 8)), f.now)
	is.True(!f.e.withinGuarantee(f.e.jobs["a"]))
	f.tick()
	f.e.Cancel("a", f.now)
	is.True(f.e.withinGuarantee(f.e.jobs["b"]))
}

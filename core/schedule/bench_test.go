package schedule

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
)

// sizes are the fleet sizes of the benchmarks. The largest is the design target.
var sizes = []int{10, 100, 1000, 7900}

const (
	tasksPerWorker = 19 // 150,000 tasks on 7,900 workers
	slotsPerWorker = 24
)

// benchConfig returns a configuration with the 150 customers of the design target
// and gangs of up to 128 workers.
func benchConfig(workers int) *config.Config {
	cfg := &config.Config{
		Limits: config.DefaultLimits(),
		Shapes: []config.Shape{
			{Name: "gang", Workers: min(128, max(workers/8, 1)), Demand: config.Demand{Slots: 1, Accelerators: 1}},
			{Name: "small", Workers: 1, Demand: config.Demand{Slots: 1}},
		},
		Services: []config.Service{
			{Name: "task", Shape: "small", Repeatable: true, Priority: config.Normal, RunTime: time.Hour},
			{Name: "train", Shape: "gang", Repeatable: true, Priority: config.Normal, RunTime: time.Hour},
		},
	}
	cfg.Limits.QueueLength, cfg.Limits.CustomerQueue = 1_000_000, 1_000_000
	for i := range 150 {
		cfg.Customers = append(cfg.Customers, config.Customer{Name: fmt.Sprintf("team-%d", i), Weight: 1})
	}
	return cfg
}

// benchScheduler returns a scheduler with n workers that run tasksPerWorker tasks
// each.
func benchScheduler(b *testing.B, n int) *Scheduler {
	b.Helper()
	s := New(DefaultPolicy())
	s.SetConfig(benchConfig(n))
	for i := range n {
		s.Report(WorkerReport{
			Name:        fmt.Sprintf("worker-%05d", i),
			Incarnation: 1,
			Sequence:    1,
			Zone:        fmt.Sprintf("zone-%d", i%11),
			Rack:        fmt.Sprintf("rack-%d", i/33),
			Ready:       true,
			Capacity:    config.Demand{Slots: slotsPerWorker, Accelerators: 1 + i%9/8},
			Services:    []string{"task", "train"},
		}, start)
	}
	for i := range n * tasksPerWorker {
		s.Submit(Spec{ID: fmt.Sprintf("task-%d", i), Customer: fmt.Sprintf("team-%d", i%150), Service: "task", Deadline: start.Add(time.Hour)}, start)
	}
	s.Tick(start)
	if s.Queued() > 0 {
		b.Fatalf("%d tasks were not placed", s.Queued())
	}
	return s
}

func BenchmarkPlaceGang(b *testing.B) { benchmarkPlace(b, "train") }

func BenchmarkPlaceSingle(b *testing.B) { benchmarkPlace(b, "task") }

// benchmarkPlace measures one job's submission, the tick that places it and its
// end.
func benchmarkPlace(b *testing.B, service string) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := benchScheduler(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.Submit(Spec{ID: "job", Customer: "team-1", Service: service, Deadline: start.Add(time.Hour)}, start)
				if d := s.Tick(start); len(d) != 1 {
					b.Fatalf("got %d decisions, want 1", len(d))
				}
				s.FinishJob("job", true, start.Add(time.Second))
				s.dirty = false
			}
		})
	}
}

// BenchmarkTick measures a tick after a report that changes nothing.
func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := benchScheduler(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				s.dirty = true
				s.Tick(start)
			}
		})
	}
}

// BenchmarkReport measures the report of one worker.
func BenchmarkReport(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := benchScheduler(b, n)
			r := WorkerReport{Name: "worker-00003", Incarnation: 1, Zone: "zone-3", Rack: "rack-0", Ready: true,
				Capacity: config.Demand{Slots: slotsPerWorker, Accelerators: 1}, Services: []string{"task", "train"}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.Sequence = uint64(i + 2)
				s.Report(r, start)
			}
		})
	}
}

// BenchmarkReplan measures a new plan after the loss of one worker.
func BenchmarkReplan(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			cfg := benchConfig(n)
			for _, c := range cfg.Customers[:min(150, n)] {
				cfg.Guarantees = append(cfg.Guarantees, config.Guarantee{Customer: c.Name, Shape: "small", Count: max(n/300, 1)})
			}
			fleet := benchScheduler(b, n).Fleet(start, func(string) bool { return true })
			previous := plan.Make(cfg, 1, fleet, nil)
			b.ResetTimer()
			for range b.N {
				plan.Make(cfg, 1, fleet[1:], previous)
			}
		})
	}
}

// BenchmarkHeap reports the heap size of the scheduler state.
func BenchmarkHeap(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := benchScheduler(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
				runtime.KeepAlive(s)
			}
		})
	}
}

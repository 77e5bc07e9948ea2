package worker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestStartPermission orders a start to an agent on a simulated boot clock. It guards
// against a start in a zone that may have been evacuated since the orders were sent,
// and against an expiry for an agent whose orders still list the start.
func TestStartPermission(t *testing.T) {
	const bootTime, permission = time.Hour, 2 * time.Second // shorter than the renewal of leases is granted
	tests := map[string]struct {
		permission time.Duration
		late       bool // the orders arrive when the permission has expired
		echoed     bool // earlier orders have echoed a newer report
		renewed    bool // orders that echo a newer report arrive before that
		listed     bool // these orders list the start
		expires    bool
	}{
		"orders arrive late":             {permission: permission, late: true, expires: true},
		"orders echo an older report":    {permission: permission, late: true, echoed: true, expires: true},
		"worker does not answer in time": {permission: permission, expires: true},
		"newer orders without the start": {permission: permission, renewed: true, expires: true},
		"newer orders with the start":    {permission: permission, renewed: true, listed: true},
		"no limit":                       {late: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := platform.NewStandin().Store()
			s := newScriptedScheduler(t, store)
			var skipped, acked atomic.Int64
			var answers, attempted, started, stopped atomic.Bool
			w := worker.Worker{
				Hold: func(_ context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
					time.Sleep(5 * time.Millisecond)
					acked.Store(int64(o.Acked))
					return worker.HoldReply{Clock: time.Second}, nil
				},
				Start: func(context.Context, worker.StartRequest) error {
					attempted.Store(true)
					if !answers.Load() {
						return context.DeadlineExceeded
					}
					started.Store(true)
					return nil
				},
				Stop: func(context.Context, worker.StopRequest) error {
					stopped.Store(true)
					return nil
				},
			}
			a := worker.Start(worker.Config{
				Node: "side-1", Store: store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
				BootTime: func() time.Duration { return bootTime + time.Duration(skipped.Load()) },
			})
			defer a.Close()
			a.Announce(worker.Announcement{WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, Sequence: 1})
			conn := <-s.conns
			run := wire.TaskRun{Task: wire.TaskID{Job: "j"}, Run: 1}
			orders := wire.WorkerOrders{
				Sequence: 1, Epoch: 1, Token: 1 << 8, Instance: "i-1", Born: 1, LastReportSent: bootTime, StartPermission: tt.permission,
				Starts: []wire.StartTask{{Task: run.Task, Run: run.Run}},
			}
			if tt.late {
				skipped.Store(int64(permission + time.Second))
			}
			if tt.echoed {
				earlier := orders
				earlier.Sequence, earlier.LastReportSent, earlier.AckedEnds, earlier.Starts = 0, bootTime+permission, 1, nil
				is.NoErr(conn.Send(&earlier))
				eventually(t, func() bool { return acked.Load() == 1 }) // the orders are applied
			}
			is.NoErr(conn.Send(&orders))
			if !tt.late {
				eventually(t, attempted.Load)
			}
			if tt.renewed {
				orders.Sequence, orders.LastReportSent, orders.AckedEnds = 2, bootTime+permission, 1
				if !tt.listed {
					orders.Starts = nil
				}
				is.NoErr(conn.Send(&orders))
				eventually(t, func() bool { return acked.Load() == 1 }) // the orders are applied
			}
			skipped.Store(int64(permission + time.Second))
			if !tt.expires {
				answers.Store(true)
				eventually(t, started.Load)
				return
			}
			eventually(t, func() bool {
				r := s.last.Load()
				return tt.renewed && stopped.Load() || r != nil && len(r.Refused) == 1 && r.Refused[0].Reason == "start_permission_expired"
			})
			is.True(stopped.Load()) // an earlier attempt may take effect later
			is.True(!attempted.Load() || !tt.late)
		})
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never holds")
		}
	}
}

// TestLostSchedulerStartsNothing guards against a cancelled job that is started by the
// order of a scheduler that is lost: its worker does not answer the start until the limit
// for cancellations has passed, and until then no other scheduler can reach it.
func TestLostSchedulerStartsNothing(t *testing.T) {
	is := is.New(t)
	const limit = 3 * time.Second
	s := newSystem(t, 0, 0)
	s.startEntryWith(func(cfg *scheduler.Config) { cfg.CancelLimit = limit })
	var skipped atomic.Int64
	var answers, attempted, started, stopped atomic.Bool
	var late atomic.Int64 // calls since the worker answers
	w := worker.Worker{
		Hold: func(_ context.Context, _ worker.HoldRequest) (worker.HoldReply, error) {
			time.Sleep(5 * time.Millisecond)
			return worker.HoldReply{Clock: time.Second}, nil
		},
		Start: func(context.Context, worker.StartRequest) error {
			attempted.Store(true)
			if !answers.Load() || late.Add(1) == 1 { // the agent may have begun the first one before
				return context.DeadlineExceeded
			}
			started.Store(true)
			return nil
		},
		Stop: func(context.Context, worker.StopRequest) error {
			stopped.Store(true)
			return nil
		},
	}
	a := worker.Start(worker.Config{
		Node: "side-1", Store: s.store.Store(), Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
		BootTime: func() time.Duration { return platform.BootTime() + time.Duration(skipped.Load()) },
	})
	defer a.Close()
	a.Announce(worker.Announcement{WorkerInfo: wire.WorkerInfo{
		Instance: "i-1", Born: 1, Service: "podcheck", State: wire.WorkerReady, Capacity: wire.Resources{CPU: 8000, Memory: 8000, Accelerators: 8},
	}, Sequence: 1})
	s.submit("j", "", tasks(1))
	eventually(t, attempted.Load)
	s.entries[0].Close()
	skipped.Store(int64(limit)) // less than the time for which leases may still be renewed
	answers.Store(true)
	eventually(t, func() bool { return started.Load() || stopped.Load() })
	is.True(!started.Load())
}

// TestStartNotRepeatedWhileDraining guards against a run that is started on a worker that
// is leaving: the worker leaves the start unanswered until it has announced that it drains,
// and the scheduler that would take the order back is lost.
func TestStartNotRepeatedWhileDraining(t *testing.T) {
	w := newLateWorker()
	calls := w.Worker()
	var answers atomic.Bool
	var called, late, started, stopped atomic.Int64
	calls.Start = func(context.Context, worker.StartRequest) error {
		called.Add(1)
		if !answers.Load() || late.Add(1) == 1 { // the agent may have begun the first one before
			return &platform.UnavailableError{Op: "start"}
		}
		started.Add(1)
		return nil
	}
	stop := calls.Stop
	calls.Stop = func(ctx context.Context, o worker.StopRequest) error {
		stopped.Add(1)
		return stop(ctx, o)
	}
	f := newLateCalls(t, calls)
	f.order([]wire.TaskRun{lateRun}, nil)
	f.wait(func() bool { return called.Load() > 0 }, "the start is not called")
	f.conn.Close()
	f.is.True(f.agent.Announce(worker.Announcement{
		WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerDraining, Remaining: time.Minute}, Sequence: 2,
	}))
	answers.Store(true)
	f.wait(func() bool { return started.Load()+stopped.Load() > 0 }, "the order is not given up")
	f.is.Equal(started.Load(), int64(0))
}

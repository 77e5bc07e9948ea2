package worker_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// scriptedScheduler is a scheduler that sends only what the test sends.
type scriptedScheduler struct {
	conns   chan *frame.Conn
	reports atomic.Int64
	ready   atomic.Int64 // reports of a worker that is ready
	last    atomic.Pointer[wire.WorkerReport]
}

// newScriptedScheduler starts a scheduler and writes its lease to the store.
func newScriptedScheduler(t *testing.T, store platform.Store) *scriptedScheduler {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedScheduler{conns: make(chan *frame.Conn, 8)}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	key := []byte("0123456789abcdef")
	go frame.Serve(l, 8, frame.Config{
		Local: wire.Hello{Role: wire.RoleEntry, Name: "entry", Address: addr}, Key: key,
		Handle: func(_ context.Context, _ *frame.Conn, m wire.Message) wire.Message {
			if r, ok := m.(*wire.WorkerReport); ok {
				s.reports.Add(1)
				if r.Worker.State == wire.WorkerReady {
					s.ready.Add(1)
				}
				s.last.Store(r)
			}
			return nil
		},
	}, func(c *frame.Conn) { s.conns <- c })
	lease := wire.SchedulerLease{Epoch: 1, Holder: "entry", Address: addr, Key: key}
	value, err := lease.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: "scheduler/lease", Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestNoReportBeforeFirstOrders reconnects an agent. Until the scheduler has
// sent its token, a poll of the worker proves nothing, since the worker may
// still carry out older orders.
func TestNoReportBeforeFirstOrders(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	standin := worker.NewStandin(worker.StandinConfig{
		Info: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, MaxLease: 6 * time.Second,
	})
	var polls atomic.Int64
	w := standin.Worker()
	hold := w.Hold
	w.Hold = func(ctx context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
		o.Wait = min(o.Wait, 10*time.Millisecond)
		reply, err := hold(ctx, o)
		polls.Add(1)
		return reply, err
	}
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	a.Announce(standin.Announcement(1))
	wait := func(ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("condition not met in time")
			}
		}
	}

	first := <-s.conns
	is.NoErr(first.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8}))
	wait(func() bool { return s.reports.Load() > 0 })
	first.Close()

	second := <-s.conns
	time.Sleep(50 * time.Millisecond) // for reports in flight on the first connection
	before, seen := s.reports.Load(), polls.Load()
	wait(func() bool { return polls.Load() > seen+80 }) // takes longer than the report interval
	is.Equal(s.reports.Load(), before)
	is.NoErr(second.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 2 << 8}))
	wait(func() bool { return s.reports.Load() > before })
}

// TestAcknowledgementsOfEarlierLifetimeAreIgnored starts a new lifetime of a
// worker, whose numbers of ends start over. Earlier acknowledgements must not
// reach it.
func TestAcknowledgementsOfEarlierLifetimeAreIgnored(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	holds := make(chan worker.HoldRequest, 1000)
	w := worker.Worker{Hold: func(_ context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
		holds <- o
		time.Sleep(5 * time.Millisecond)
		return worker.HoldReply{}, nil
	}}
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	announcement := func(n int64) worker.Announcement {
		return worker.Announcement{
			WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: n, State: wire.WorkerReady}, Sequence: 1,
		}
	}
	a.Announce(announcement(1))
	conn := <-s.conns
	is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8, Instance: "i-1", Born: 1, AckedEnds: 5}))
	for o := range holds {
		if o.Acked == 5 {
			break
		}
	}
	a.Announce(announcement(2))
	for o := range holds {
		if o.Token == 1<<8+2 { // the low bits of the token count lifetimes
			is.Equal(o.Acked, 0)
			break
		}
	}
}

// TestNoStartOnDrainingWorker sends a start order while the worker announces
// that it is draining. The agent must report the run as refused.
func TestNoStartOnDrainingWorker(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	standin := worker.NewStandin(worker.StandinConfig{
		Info: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, MaxLease: 6 * time.Second, StopDelay: time.Millisecond,
	})
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: standin.Worker(), Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	a.Announce(standin.Announcement(1))
	conn := <-s.conns
	orders := func(sequence uint64, starts ...wire.StartTask) *wire.WorkerOrders {
		return &wire.WorkerOrders{Sequence: sequence, Epoch: 1, Token: 1 << 8, Instance: "i-1", Born: 1, LastReportSent: time.Hour, Starts: starts}
	}
	is.NoErr(conn.Send(orders(1)))
	draining := standin.Announcement(2)
	draining.State = wire.WorkerDraining
	a.Announce(draining)
	run := wire.TaskRun{Task: wire.TaskID{Job: "j"}, Run: 1}
	is.NoErr(conn.Send(orders(2, wire.StartTask{Task: run.Task, Run: run.Run, Spec: "1m"})))
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if r := s.last.Load(); r != nil && len(r.Refused) == 1 {
			is.Equal(r.Refused[0], wire.RefusedRun{Task: run.Task, Run: run.Run, Reason: "worker_draining"})
			break
		}
		if time.Now().After(end) {
			t.Fatal("the refused run is not reported")
		}
	}
	is.Equal(len(standin.StartCounts()), 0)
}

// TestEndedRunsAreNotStopped sends a stop order for a run that has just ended.
// The agent must not pass it on to the worker.
func TestEndedRunsAreNotStopped(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	ended := wire.TaskRun{Task: wire.TaskID{Job: "ended"}, Run: 1}
	runs := wire.TaskRun{Task: wire.TaskID{Job: "runs"}, Run: 1}
	stops := make(chan wire.TaskRun, 1000)
	w := worker.Worker{
		Hold: func(context.Context, worker.HoldRequest) (worker.HoldReply, error) {
			time.Sleep(5 * time.Millisecond)
			return worker.HoldReply{
				Running: []wire.RunningTask{{Task: runs.Task, Run: runs.Run}},
				Ended:   []wire.EndedRun{{Number: 1, Task: ended.Task, Run: ended.Run, End: wire.EndDone}},
			}, nil
		},
		Stop: func(_ context.Context, o worker.StopRequest) error {
			stops <- o.TaskRun
			return nil
		},
	}
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	a.Announce(worker.Announcement{WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, Sequence: 1})
	conn := <-s.conns
	is.NoErr(conn.Send(&wire.WorkerOrders{
		Sequence: 1, Epoch: 1, Token: 1 << 8, Instance: "i-1", Born: 1, Stops: []wire.TaskRun{ended, runs},
	}))
	select {
	case r := <-stops:
		is.Equal(r, runs)
	case <-time.After(testTimeout):
		t.Fatal("no run is stopped")
	}
	a.Close()
	is.Equal(len(stops), 0)
}

// TestSuspendedAgentStartsNothing suspends the agent's VM for longer than the
// scheduler's permission to renew leases lasts. The scheduler may have started the
// run elsewhere since, so the agent must not start it.
func TestSuspendedAgentStartsNothing(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	standin := worker.NewStandin(worker.StandinConfig{
		Info: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, MaxLease: 6 * time.Second, StopDelay: time.Millisecond,
	})
	var suspended atomic.Int64 // time that the monotonic clock does not count
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: standin.Worker(), Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
		BootTime: func() time.Duration { return platform.BootTime() + time.Duration(suspended.Load()) },
	})
	defer a.Close()
	a.Announce(standin.Announcement(1))
	conn := <-s.conns
	orders := &wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8, Instance: "i-1", Born: 1}
	is.NoErr(conn.Send(orders))
	waitReport := func(ok func(r *wire.WorkerReport) bool) *wire.WorkerReport {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			if r := s.last.Load(); r != nil && ok(r) {
				return r
			}
			if time.Now().After(end) {
				t.Fatal("no such report")
			}
		}
	}
	granted := waitReport(func(*wire.WorkerReport) bool { return true }).Sent
	suspended.Store(int64(10 * time.Second))
	run := wire.TaskRun{Task: wire.TaskID{Job: "j"}, Run: 1}
	orders.Sequence, orders.LastReportSent = 2, granted
	orders.Starts = []wire.StartTask{{Task: run.Task, Run: run.Run, Spec: "1m"}}
	is.NoErr(conn.Send(orders))
	refused := waitReport(func(r *wire.WorkerReport) bool { return len(r.Refused) == 1 || len(r.Running) > 0 })
	is.Equal(refused.Refused, []wire.RefusedRun{{Task: run.Task, Run: run.Run, Reason: "no_grant"}})
	is.Equal(len(standin.StartCounts()), 0)
}

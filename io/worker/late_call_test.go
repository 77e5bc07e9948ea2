package worker_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
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

// lateWorker is a worker whose start calls can be carried out at a time that the test
// chooses.
type lateWorker struct {
	*worker.Standin
	mu   sync.Mutex
	hold bool     // keeps start calls and does not answer them
	held []func() // that carry them out
}

func newLateWorker() *lateWorker {
	return &lateWorker{hold: true, Standin: worker.NewStandin(worker.StandinConfig{
		Info: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, MaxLease: 6 * time.Second, StopDelay: time.Millisecond,
	})}
}

// Worker returns the calls of the worker.
func (l *lateWorker) Worker() worker.Worker {
	w := l.Standin.Worker()
	start := w.Start
	w.Start = func(ctx context.Context, o worker.StartRequest) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.hold {
			return start(ctx, o)
		}
		l.held = append(l.held, func() { _ = start(context.Background(), o) })
		return &platform.UnavailableError{Op: "start", MaybeApplied: true}
	}
	return w
}

// heldCalls returns the number of start calls that are not carried out.
func (l *lateWorker) heldCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// release carries out the start calls that are held, and later ones at once.
func (l *lateWorker) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = false
	for _, f := range l.held {
		f()
	}
	l.held = nil
}

// lateCalls is an agent between a scripted scheduler and a worker.
type lateCalls struct {
	t         *testing.T
	is        *is.I
	store     platform.Store
	scheduler *scriptedScheduler
	agent     *worker.Agent
	conn      *frame.Conn
	token     uint64
	sequence  uint64        // of the latest orders
	suspended atomic.Int64  // time that only the VM's boot time counts
	granted   time.Duration // Sent of the report that permits renewals
}

var lateRun = wire.TaskRun{Task: wire.TaskID{Job: "j"}, Run: 1}

func newLateCalls(t *testing.T, w worker.Worker) *lateCalls {
	store := platform.NewStandin().Store()
	f := &lateCalls{t: t, is: is.New(t), store: store, scheduler: newScriptedScheduler(t, store)}
	f.startAgent(w)
	t.Cleanup(func() { f.agent.Close() })
	f.link()
	f.grant()
	return f
}

func (f *lateCalls) startAgent(w worker.Worker) {
	f.agent = worker.Start(worker.Config{
		Node: "side-1", Store: f.store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
		BootTime: func() time.Duration { return platform.BootTime() + time.Duration(f.suspended.Load()) },
	})
	f.agent.Announce(worker.Announcement{WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, Sequence: 1})
}

// link accepts the agent's next connection and sends its token.
func (f *lateCalls) link() {
	f.t.Helper()
	f.conn = <-f.scheduler.conns
	f.token++
	f.sequence = 1
	f.is.NoErr(f.conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: f.token << 8}))
}

// grant permits renewals by the agent's next report.
func (f *lateCalls) grant() {
	f.t.Helper()
	before := f.scheduler.reports.Load()
	f.granted = f.report(func(*wire.WorkerReport) bool { return f.scheduler.reports.Load() > before+1 }).Sent
}

func (f *lateCalls) order(starts, stops []wire.TaskRun) {
	f.t.Helper()
	f.sequence++
	o := &wire.WorkerOrders{
		Sequence: f.sequence, Epoch: 1, Token: f.token << 8, LastReportSent: f.granted, Instance: "i-1", Born: 1, Stops: stops,
	}
	for _, r := range starts {
		o.Starts = append(o.Starts, wire.StartTask{Task: r.Task, Run: r.Run, Spec: "1m"})
	}
	f.is.NoErr(f.conn.Send(o))
}

func (f *lateCalls) wait(ok func() bool, what string) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal(what)
		}
	}
}

func (f *lateCalls) report(ok func(r *wire.WorkerReport) bool) *wire.WorkerReport {
	f.t.Helper()
	var last *wire.WorkerReport
	f.wait(func() bool {
		last = f.scheduler.last.Load()
		return last != nil && ok(last)
	}, "no such report")
	return last
}

// nextReport returns a report that is sent from now on.
func (f *lateCalls) nextReport() *wire.WorkerReport {
	f.t.Helper()
	before := f.scheduler.reports.Load()
	return f.report(func(*wire.WorkerReport) bool { return f.scheduler.reports.Load() > before+1 })
}

func lists(r *wire.WorkerReport, run wire.TaskRun) bool {
	return slices.ContainsFunc(r.Running, func(t wire.RunningTask) bool { return t.Task == run.Task && t.Run == run.Run })
}

func refuses(r *wire.WorkerReport, run wire.TaskRun) bool {
	return slices.ContainsFunc(r.Refused, func(t wire.RefusedRun) bool { return t.Task == run.Task && t.Run == run.Run })
}

// TestLateStart guards against a run that is reported as absent, ended or refused while
// the worker may still start it: the worker carries out a start seconds late, after the
// call was given up.
func TestLateStart(t *testing.T) {
	tests := map[string]struct {
		before func(f *lateCalls, w *lateWorker) // the start is carried out
		starts int
	}{
		"nothing else happens": {
			before: func(f *lateCalls, _ *lateWorker) { f.is.Equal(f.nextReport().Pending, []wire.TaskRun{lateRun}) },
			starts: 1,
		},
		"a stop overtakes it": {
			before: func(f *lateCalls, _ *lateWorker) {
				f.order(nil, []wire.TaskRun{lateRun})
				f.report(func(r *wire.WorkerReport) bool { return refuses(r, lateRun) })
			},
		},
		"the agent reconnects and the start is not ordered again": {
			before: func(f *lateCalls, _ *lateWorker) {
				f.conn.Close()
				f.link()
				f.is.Equal(f.nextReport().Pending, []wire.TaskRun{lateRun}) // the agent goes on to try
				f.order(nil, nil)
				f.report(func(r *wire.WorkerReport) bool { return len(r.Pending) == 0 })
			},
		},
		"the agent reconnects and the run is stopped": {
			before: func(f *lateCalls, _ *lateWorker) {
				f.conn.Close()
				f.link()
				f.nextReport()
				f.order(nil, []wire.TaskRun{lateRun})
				f.report(func(r *wire.WorkerReport) bool { return refuses(r, lateRun) })
			},
		},
		"the agent reconnects and the start is ordered again": {
			before: func(f *lateCalls, _ *lateWorker) {
				f.conn.Close()
				f.link()
				f.nextReport()
				f.order([]wire.TaskRun{lateRun}, nil)
			},
			starts: 1,
		},
		"the agent restarts": {
			before: func(f *lateCalls, w *lateWorker) {
				f.agent.Close()
				f.startAgent(w.Worker())
				f.link()
				f.is.Equal(len(f.nextReport().Pending), 0)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newLateWorker()
			f := newLateCalls(t, w.Worker())
			f.order([]wire.TaskRun{lateRun}, nil)
			f.wait(func() bool { return w.heldCalls() > 0 }, "the start is not called")
			tt.before(f, w)
			w.release()
			if tt.starts > 0 {
				f.report(func(r *wire.WorkerReport) bool { return lists(r, lateRun) })
			}
			f.nextReport()
			f.is.Equal(w.StartCounts()[lateRun], tt.starts)
		})
	}
}

// TestListReadBeforeStart guards against a run that is reported as absent because an
// answer with the worker's list, which was made before the run started, arrives after
// the answer to the start.
func TestListReadBeforeStart(t *testing.T) {
	w := newLateWorker()
	w.release()
	calls := w.Worker()
	hold := calls.Hold
	var armed atomic.Bool
	read, answer := make(chan struct{}), make(chan struct{})
	calls.Hold = func(ctx context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
		o.Wait = min(o.Wait, 10*time.Millisecond)
		reply, err := hold(ctx, o)
		if armed.CompareAndSwap(true, false) {
			close(read)
			<-answer
		}
		return reply, err
	}
	f := newLateCalls(t, calls)
	armed.Store(true)
	<-read
	f.order([]wire.TaskRun{lateRun}, nil)
	r := f.report(func(r *wire.WorkerReport) bool { return lists(r, lateRun) })
	close(answer)
	for end := r.Sequence + 4; r.Sequence < end; r = f.nextReport() {
		f.is.True(lists(r, lateRun))
	}
}

// TestStartNotRepeatedAfterPermissionLapsed guards against a second run of a task. The
// agent is suspended during a start call until its permission has lapsed, and the run is
// started elsewhere. The orders that bring the next permission do not list the run, so
// the agent must not call the start again by that permission.
func TestStartNotRepeatedAfterPermissionLapsed(t *testing.T) {
	w := newLateWorker()
	calls := w.Worker()
	start := calls.Start
	var called atomic.Int64
	resumed := make(chan struct{})
	calls.Start = func(ctx context.Context, o worker.StartRequest) error {
		called.Add(1)
		<-resumed
		return start(ctx, o)
	}
	f := newLateCalls(t, calls)
	resume := sync.OnceFunc(func() { close(resumed) })
	t.Cleanup(resume) // before the agent is closed
	f.order([]wire.TaskRun{lateRun}, nil)
	f.wait(func() bool { return called.Load() > 0 }, "the start is not called")
	f.suspended.Store(int64(12 * time.Second))
	f.conn.Close()
	f.link()
	f.grant()
	f.order(nil, nil) // the scheduler has ended the run
	f.nextReport()
	resume() // the call ends without an answer
	f.wait(func() bool { return called.Load() > 1 || len(f.scheduler.last.Load().Pending) == 0 }, "the order is not given up")
	f.is.Equal(called.Load(), int64(1))
}

// TestWorkerNotGoneDuringStart guards against a run that counts as ended with its worker
// while a start call that the agent has begun may still reach the worker's next lifetime.
func TestWorkerNotGoneDuringStart(t *testing.T) {
	w := newLateWorker()
	calls := w.Worker()
	hold := calls.Hold
	var down atomic.Bool
	var called, downCalls atomic.Int64
	returns := make(chan struct{})
	calls.Hold = func(ctx context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
		if down.Load() {
			downCalls.Add(1)
			return worker.HoldReply{}, &worker.DownError{Cause: syscall.ECONNREFUSED}
		}
		o.Wait = min(o.Wait, 10*time.Millisecond)
		return hold(ctx, o)
	}
	calls.Start = func(context.Context, worker.StartRequest) error {
		called.Add(1)
		<-returns
		return &worker.DownError{Cause: syscall.ECONNREFUSED}
	}
	f := newLateCalls(t, calls)
	returned := sync.OnceFunc(func() { close(returns) })
	t.Cleanup(returned) // before the agent is closed
	f.order([]wire.TaskRun{lateRun}, nil)
	f.wait(func() bool { return called.Load() > 0 }, "the start is not called")
	down.Store(true)
	f.wait(func() bool {
		return downCalls.Load() > 10 || f.scheduler.last.Load().Worker.State == wire.WorkerGone
	}, "the worker is not polled")
	f.is.Equal(f.nextReport().Worker.State, wire.WorkerReady)
	returned()
	f.report(func(r *wire.WorkerReport) bool { return r.Worker.State == wire.WorkerGone })
}

// TestAnnouncementAfterEndIsConfirmed guards against a run that is started after the
// scheduler has ended it with its worker: a delayed announcement of a lifetime that is
// gone must not make it present again before the worker has shown that it is there. If
// it has, nothing that was in progress before goes on.
func TestAnnouncementAfterEndIsConfirmed(t *testing.T) {
	w := newLateWorker()
	calls := w.Worker()
	hold := calls.Hold
	var down atomic.Bool
	var token atomic.Uint64
	calls.Hold = func(ctx context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
		if down.Load() {
			return worker.HoldReply{}, &worker.DownError{Cause: syscall.ECONNREFUSED}
		}
		token.Store(o.Token)
		o.Wait = min(o.Wait, 10*time.Millisecond)
		return hold(ctx, o)
	}
	f := newLateCalls(t, calls)
	f.order([]wire.TaskRun{lateRun}, nil)
	f.wait(func() bool { return w.heldCalls() > 0 }, "the start is not called")
	down.Store(true)
	f.report(func(r *wire.WorkerReport) bool { return r.Worker.State == wire.WorkerGone })
	before, ready := token.Load(), f.scheduler.ready.Load()
	f.agent.Announce(worker.Announcement{WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, Sequence: 2})
	f.is.Equal(f.nextReport().Worker.State, wire.WorkerGone)
	f.is.Equal(f.scheduler.ready.Load(), ready)

	down.Store(false)
	f.order(nil, nil)
	r := f.report(func(r *wire.WorkerReport) bool { return r.Worker.State == wire.WorkerReady })
	f.is.Equal(len(r.Pending), 0)
	f.is.True(token.Load() > before)
	w.release()
	f.nextReport()
	f.is.Equal(w.StartCounts()[lateRun], 0)
}

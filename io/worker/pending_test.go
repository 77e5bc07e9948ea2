package worker_test

import (
	"context"
	"sync/atomic"
	"testing"

	"bramleythread/io/wire"
	"bramleythread/io/worker"
)

// TestStopOfPendingStartIsSentOnce guards against a stop that is repeated after the
// worker has acknowledged it.
func TestStopOfPendingStartIsSentOnce(t *testing.T) {
	w := newLateWorker()
	calls := w.Worker()
	var stops atomic.Int64
	stop := calls.Stop
	calls.Stop = func(ctx context.Context, o worker.StopRequest) error {
		stops.Add(1)
		return stop(ctx, o)
	}
	f := newLateCalls(t, calls)
	f.order([]wire.TaskRun{lateRun}, nil)
	f.wait(func() bool { return w.heldCalls() > 0 }, "the start is not called")
	f.order(nil, []wire.TaskRun{lateRun})
	f.report(func(r *wire.WorkerReport) bool { return refuses(r, lateRun) && len(r.Pending) == 0 })
	f.is.Equal(f.nextReport().Refused[0].Reason, "stopped")
	f.is.Equal(stops.Load(), int64(1))
}

// TestLeaveAfterUnansweredStart guards against a run that counts as ended with a worker
// that announces its end, while a start call that was given up may still be carried out.
func TestLeaveAfterUnansweredStart(t *testing.T) {
	for name, tt := range map[string]struct {
		stopped bool // the run's stop is acknowledged before
		state   wire.WorkerState
	}{
		"not answered":       {state: wire.WorkerReady},
		"stopped in between": {stopped: true, state: wire.WorkerGone},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLateWorker()
			f := newLateCalls(t, w.Worker())
			f.order([]wire.TaskRun{lateRun}, nil)
			f.wait(func() bool { return w.heldCalls() > 0 }, "the start is not called")
			if tt.stopped {
				f.order(nil, []wire.TaskRun{lateRun})
				f.report(func(r *wire.WorkerReport) bool { return refuses(r, lateRun) && len(r.Pending) == 0 })
			}
			f.agent.WorkerLeft("i-1", 1)
			f.is.Equal(f.nextReport().Worker.State, tt.state)
			w.release()
		})
	}
}

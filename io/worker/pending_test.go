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

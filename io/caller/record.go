package caller

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"bramleythread/core/schedule"
	"bramleythread/core/trace"
)

const storeTraceTimeout = 10 * time.Second

// recorder records the first limit scheduler calls of the process for a trace.
type recorder struct {
	mu       sync.Mutex
	limit    int
	recorded trace.Trace
	saved    bool
}

func newRecorder(limit int) *recorder {
	return &recorder{limit: limit, recorded: trace.Trace{Header: trace.Header{Version: trace.Version, Kind: trace.Decisions}}}
}

// record appends a call to the trace. full is true for the call that reaches the
// limit; later calls are dropped.
func (r *recorder) record(c schedule.Call) (full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recorded.Events) >= r.limit {
		return false
	}
	r.recorded.Events = append(r.recorded.Events, trace.Event{Kind: trace.SchedulerCall, Call: &c})
	return len(r.recorded.Events) == r.limit
}

// TraceKey returns the object key of the trace recorded by an entry process.
func TraceKey(entry string, incarnation uint64) string {
	return fmt.Sprintf("trace/%s/%d", entry, incarnation)
}

// startRecording starts recording scheduler calls; 0 calls disables it. It must
// be called before the scheduler is used.
func (e *Entry) startRecording(calls int) {
	if calls == 0 {
		return
	}
	e.recorder = newRecorder(calls)
	e.sched.Record = func(c schedule.Call) {
		if e.recorder.record(c) {
			e.startGoroutine(e.saveTrace)
		}
	}
}

// saveTrace writes the trace to the object store unless that has been done.
func (e *Entry) saveTrace() {
	r := e.recorder
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saved {
		return
	}
	var file bytes.Buffer
	if err := r.recorded.Write(&file); err != nil {
		e.cfg.Log.Error().Err(err).Msg("trace_not_saved")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTraceTimeout)
	defer cancel()
	key := TraceKey(e.cfg.Name, e.cfg.Incarnation)
	if err := e.cfg.Store.PutObject(ctx, key, file.Bytes()); err != nil {
		e.cfg.Log.Error().Err(err).Msg("trace_not_saved")
		return
	}
	r.saved = true
	e.cfg.Log.Info().Str("object", key).Int("calls", len(r.recorded.Events)).Msg("trace_saved")
}

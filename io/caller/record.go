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

// recorder keeps the calls of the scheduler, from the start of the process
// until there are enough of them.
type recorder struct {
	mu    sync.Mutex
	limit int
	t     trace.Trace
	saved bool
}

func newRecorder(limit int) *recorder {
	return &recorder{limit: limit, t: trace.Trace{Header: trace.Header{Version: trace.Version, Kind: trace.Decisions}}}
}

// record keeps a call; full is true for the one that fills the trace.
func (r *recorder) record(c schedule.Call) (full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.t.Events) >= r.limit {
		return false
	}
	r.t.Events = append(r.t.Events, trace.Event{Kind: trace.SchedulerCall, Call: &c})
	return len(r.t.Events) == r.limit
}

// TraceKey returns the object key of the trace that an entry records.
func TraceKey(entry string, incarnation uint64) string {
	return fmt.Sprintf("trace/%s/%d", entry, incarnation)
}

// startRecording records the scheduler's calls. The caller has not used the
// scheduler yet.
func (e *Entry) startRecording(calls int) {
	if calls == 0 {
		return
	}
	e.recorder = newRecorder(calls)
	e.sched.Record = func(c schedule.Call) {
		if e.recorder.record(c) {
			e.run(e.saveTrace)
		}
	}
}

// saveTrace writes the trace to the object store, once.
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
	if err := r.t.Write(&file); err != nil {
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
	e.cfg.Log.Info().Str("object", key).Int("calls", len(r.t.Events)).Msg("trace_saved")
}

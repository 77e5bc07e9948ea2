package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, from the pages.
const (
	heartbeatInterval = 1500 * time.Millisecond // HeartbeatMs
	maxHold           = 6 * time.Second         // MaxHoldMs
	stopGrace         = 400 * time.Millisecond  // StopGraceMs
	announceTimeout   = time.Second             // a liveness report is acknowledged within a second
)

// run is one run of a work unit, as the worker has seen it.
type run struct {
	task   string
	number int
	worker string
	life   int
	start  time.Time
	doneAt time.Time // when its work is complete
	stopAt time.Time // when its stop takes effect, or zero
	fails  bool

	end        time.Time // zero while it runs
	how        string
	endNumber  int
	noted      time.Time // when LastSeen reached the end, or zero
	leaseAtEnd int       // number of lapses of the lease at the end
	lapsed     bool      // the lease lapsed between the end and its note
}

// lifetime is one lifetime of a worker.
type lifetime struct {
	born    time.Time
	clock   time.Time // zero of the worker's clock
	fence   uint64
	until   time.Time // end of the lease
	lapses  int
	running map[string]*run
	newest  map[string]int // newest run that was stopped or has ended, by work unit
	ends    []*run         // not forgotten
	count   int            // of ends
	seqNo   int
	changed chan struct{} // closed at the next end
}

// worker is a stand-in of a worker. It has one lifetime at a time.
type worker struct {
	rec     *record
	id      string
	service string
	zone    string
	labels  []string
	addr    string // of its listener
	control string // Control address of its machine
	gpus    int

	mu       sync.Mutex
	life     *lifetime // nil while the worker is down
	lives    int
	history  []*run
	cut      bool // its liveness reports do not arrive
	failAll  bool // every run fails at once
	busy     bool // starts are answered by 503
	server   *http.Server
	stopBeat chan struct{}
	state    string
	leaving  time.Duration
}

// begin starts a lifetime of the worker. It listens, and then reports at once.
func (w *worker) begin() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.addr = l.Addr().String()
	now := time.Now()
	w.mu.Lock()
	w.lives++
	w.life = &lifetime{born: now, clock: now, running: make(map[string]*run), newest: make(map[string]int), changed: make(chan struct{})}
	life := w.life
	w.state = "ready"
	w.stopBeat = make(chan struct{})
	stop := w.stopBeat
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serve(life, w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.serve(life, w.runStop))
	mux.HandleFunc("POST /-/hold", w.serveHold(life))
	mux.HandleFunc("POST /-/pace", w.serve(life, func(*lifetime, *order, time.Time) (int, string) { return http.StatusOK, "" }))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.ticks(life, stop)
	go w.beats(life, stop)
	return nil
}

// crash ends the lifetime and all its runs.
func (w *worker) crash() {
	w.mu.Lock()
	life := w.life
	now := time.Now()
	w.endDue(life, now)
	for _, r := range life.running {
		r.end, r.how = now, "crashed"
	}
	life.running = make(map[string]*run)
	w.life = nil
	close(w.stopBeat)
	w.mu.Unlock()
	_ = w.server.Close()
	w.rec.add("%s: lifetime %d crashes", w.id, w.lives)
}

// ticks ends the runs that are due.
func (w *worker) ticks(life *lifetime, stop chan struct{}) {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		w.mu.Lock()
		if w.life == life {
			w.endDue(life, time.Now())
		}
		w.mu.Unlock()
	}
}

// beats sends liveness reports until the lifetime ends.
func (w *worker) beats(life *lifetime, stop chan struct{}) {
	for {
		w.beat(life)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends one liveness report.
func (w *worker) beat(life *lifetime) {
	w.mu.Lock()
	life.seqNo++
	body, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": w.state, "ColdRemainingMs": 0,
		"Capacity": map[string]int{"Cpu": 32000, "MemMb": 65536, "Gpu": w.gpus}, "Labels": w.labels,
		"ClockMs": time.Since(life.clock).Milliseconds(), "SeqNo": life.seqNo, "born": life.born.UnixMilli(), "RemainingMs": w.leaving.Milliseconds(),
	})
	cut, lives, seqNo := w.cut, w.lives, life.seqNo
	w.mu.Unlock()
	if cut {
		w.rec.add("%s: liveness report %d of lifetime %d does not arrive", w.id, seqNo, lives)
		return
	}
	status := post("http://"+w.control+"/-/Instances.Heartbeat/"+w.id, body)
	if seqNo == 1 {
		w.rec.add("%s: first liveness report of lifetime %d, born %d: %d", w.id, lives, life.born.UnixMilli(), status)
	}
}

// post returns the status, or 0 if there was no answer.
func post(url string, body []byte) int {
	c := http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// order is the body of any call to a worker.
type order struct {
	Task, Spec, LastCheckpoint string
	Run, LastSeen              int
	UntilMs, WaitMs            int64
	FencingToken               uint64
}

var errDown = errors.New("the lifetime has ended")

// admit checks the lifetime and the fence number of a call. The caller holds mu.
func (w *worker) admit(life *lifetime, r *http.Request, o *order) (int, string, error) {
	if w.life != life {
		return 0, "", errDown
	}
	if r.Header.Get("Bramleythread-Expected-Instance") != w.id {
		return http.StatusMisdirectedRequest, "", nil
	}
	if o.FencingToken < life.fence {
		return http.StatusConflict, "fence", nil
	}
	life.fence = o.FencingToken
	return http.StatusOK, "", nil
}

func (w *worker) serve(life *lifetime, f func(*lifetime, *order, time.Time) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		status, reason, err := w.admit(life, r, &o)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		now := time.Now()
		if status == http.StatusOK {
			w.endDue(life, now)
			status, reason = f(life, &o, now)
		}
		answer := map[string]any{"ClockMs": now.Sub(life.clock).Milliseconds()}
		if reason != "" {
			answer["Reason"] = reason
		}
		if status != http.StatusOK {
			w.rec.add("%s: %s %s run %d: %d %s", w.id, r.URL.Path, o.Task, o.Run, status, reason)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(answer)
	}
}

// extend extends the lease.
func (w *worker) extend(life *lifetime, untilMs int64, now time.Time) {
	until := life.clock.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := now.Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(life.until) {
		life.until = until
	}
}

func (w *worker) runStart(life *lifetime, o *order, now time.Time) (int, string) {
	if w.busy {
		return http.StatusServiceUnavailable, ""
	}
	if !life.clock.Add(time.Duration(o.UntilMs) * time.Millisecond).After(now) {
		return http.StatusConflict, "late"
	}
	w.extend(life, o.UntilMs, now)
	if r := life.running[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	} else if r != nil || o.Run <= life.newest[o.Task] {
		return http.StatusConflict, "old"
	}
	r := &run{task: o.Task, number: o.Run, worker: w.id, life: w.lives, start: now, doneAt: now.Add(workOf(o.Spec))}
	if w.failAll || strings.Contains(o.Spec, "poison") {
		r.fails, r.doneAt = true, now.Add(20*time.Millisecond)
	}
	life.running[o.Task] = r
	w.history = append(w.history, r)
	w.rec.add("%s: start %s run %d (lifetime %d)", w.id, o.Task, o.Run, w.lives)
	return http.StatusOK, ""
}

// workOf returns the work that a spec WORK_MS:TEXT asks for.
func workOf(spec string) time.Duration {
	text, _, _ := strings.Cut(spec, ":")
	ms, err := strconv.Atoi(text)
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) runStop(life *lifetime, o *order, now time.Time) (int, string) {
	life.newest[o.Task] = max(life.newest[o.Task], o.Run)
	if r := life.running[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopGrace / 2)
		w.rec.add("%s: stop %s run %d", w.id, o.Task, o.Run)
	}
	return http.StatusOK, ""
}

// endDue ends the runs that are due. The caller holds mu.
func (w *worker) endDue(life *lifetime, now time.Time) {
	ended := false
	lapsed := false
	for task, r := range life.running {
		at, how := life.until, "lapsed"
		if !r.stopAt.IsZero() && r.stopAt.Before(at) {
			at, how = r.stopAt, "stopped"
		}
		if r.doneAt.Before(at) {
			at, how = r.doneAt, "done"
			if r.fails {
				how = "failed"
			}
		}
		if at.After(now) {
			continue
		}
		lapsed = lapsed || how == "lapsed"
		delete(life.running, task)
		life.newest[task] = max(life.newest[task], r.number)
		life.count++
		r.end, r.how, r.endNumber, r.leaseAtEnd = at, how, life.count, life.lapses
		life.ends = append(life.ends, r)
		ended = true
		w.rec.add("%s: end %d: %s run %d %s", w.id, life.count, task, r.number, how)
	}
	if lapsed || !life.until.IsZero() && now.After(life.until) {
		life.lapses++
		life.until = time.Time{}
	}
	if ended {
		close(life.changed)
		life.changed = make(chan struct{})
	}
}

// note forgets the ends up to a number. The caller holds mu.
func (w *worker) note(life *lifetime, lastSeen int, now time.Time) {
	kept := life.ends[:0]
	for _, r := range life.ends {
		if r.endNumber > lastSeen {
			kept = append(kept, r)
			continue
		}
		r.noted, r.lapsed = now, r.leaseAtEnd != life.lapses
		w.rec.add("%s: end %d of %s run %d is taken note of (lapsed before: %t)", w.id, r.endNumber, r.task, r.number, r.lapsed)
	}
	life.ends = kept
}

func (w *worker) serveHold(life *lifetime) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		defer timer.Stop()
		last := o.WaitMs == 0
		for {
			w.mu.Lock()
			status, reason, err := w.admit(life, r, &o)
			if err != nil {
				w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			now := time.Now()
			answer := map[string]any{"ClockMs": now.Sub(life.clock).Milliseconds()}
			if reason != "" {
				answer["Reason"] = reason
			}
			if status == http.StatusOK {
				w.endDue(life, now)
				if o.UntilMs > 0 {
					w.extend(life, o.UntilMs, now)
				}
				w.note(life, o.LastSeen, now)
				answer["born"] = life.born.UnixMilli()
				answer["Running"], answer["EndedRuns"] = w.lists(life, now)
			}
			waits := status == http.StatusOK && len(life.ends) == 0 && !last
			changed := life.changed
			w.mu.Unlock()
			if !waits {
				rw.Header().Set("Content-Type", "application/json")
				rw.WriteHeader(status)
				_ = json.NewEncoder(rw).Encode(answer)
				return
			}
			o.UntilMs = 0 // applied once
			select {
			case <-changed:
			case <-timer.C:
				last = true
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// lists returns the running and the ended runs. The caller holds mu.
func (w *worker) lists(life *lifetime, now time.Time) (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, r := range life.running {
		percent := 0
		if total := r.doneAt.Sub(r.start); total > 0 {
			percent = int(min(99, 100*now.Sub(r.start)/total))
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, r := range life.ends {
		ended = append(ended, []any{r.endNumber, r.task, r.number, r.how, ""})
	}
	return running, ended
}

// runs returns copies of all runs of the worker.
func (w *worker) runs() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []run
	for _, r := range w.history {
		all = append(all, *r)
	}
	return all
}

func (r *run) String() string {
	return fmt.Sprintf("%s run %d on %s lifetime %d", r.task, r.number, r.worker, r.life)
}

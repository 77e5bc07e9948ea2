package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of its processes.
const (
	maxHold      = 6000 * time.Millisecond
	stopGrace    = 400 * time.Millisecond
	gangTimeout  = 3000 * time.Millisecond
	saveInterval = 500 * time.Millisecond
	restoreTime  = 600 * time.Millisecond
	heartbeatMs  = 1500
	maxEnds      = 500 // in one response
	maxChannels  = 64  // to one worker
)

// run is one run of a work unit on a worker.
type run struct {
	task    string
	number  int
	begun   time.Time // when it was started
	working time.Time // since when it works; zero while its gang is incomplete
	base    time.Duration
	dur     time.Duration
	how     string // how it ends by itself
	saved   string
	stopAt  time.Time
	rec     *runRecord
}

type end struct {
	n    int
	task string
	run  int
	how  string
	save string
	rec  *runRecord
	laps int
}

// life is one lifetime of a worker.
type life struct {
	w         *worker
	id        string
	born      int64
	start     time.Time
	fence     uint64
	lease     time.Duration // on the worker's clock
	running   map[string]*run
	newest    map[string]int
	ends      []end
	n         int
	lapses    int
	changed   chan struct{}
	seq       int
	state     string
	drainEnds time.Time
	dead      bool
}

// worker is a worker beside an agent.
type worker struct {
	sys       *system
	name      string
	ip        string
	rack      string
	capacity  resources
	addr      string
	control   string
	mu        sync.Mutex
	life      *life
	listener  net.Listener
	server    *http.Server
	late      func(path string) time.Duration // if positive, a call is not answered and carried out so much later
	heldBeats bool
}

func (l *life) clock() time.Duration { return time.Since(l.start) }

// boot starts a lifetime.
func (w *worker) boot(id string) {
	w.mu.Lock()
	l := &life{w: w, id: id, born: time.Now().UnixMilli(), start: time.Now(), running: map[string]*run{}, newest: map[string]int{}, changed: make(chan struct{}), state: "ready"}
	w.life = l
	w.mu.Unlock()
	ln, err := net.Listen("tcp", w.addr)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(20 * time.Millisecond)
		ln, err = net.Listen("tcp", w.addr)
	}
	check(err)
	mux := http.NewServeMux()
	for _, path := range []string{"run-start", "run-stop", "hold", "pace"} {
		mux.HandleFunc("POST /-/"+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(l, path, rw, r) })
	}
	srv := &http.Server{Handler: mux}
	w.mu.Lock()
	w.listener, w.server = ln, srv
	w.mu.Unlock()
	go func() { _ = srv.Serve(limitListener(ln, maxChannels)) }()
	go l.tickLoop()
	go l.beatLoop()
	w.sys.rec.note("worker %s lifetime %s born %d", w.name, id, l.born)
}

// limited accepts no connection while too many are open; further ones wait.
type limited struct {
	net.Listener
	slots chan struct{}
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func limitListener(l net.Listener, n int) net.Listener {
	return &limited{Listener: l, slots: make(chan struct{}, n)}
}

func (l *limited) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: l.slots}, nil
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// crash ends the lifetime with all that runs.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	l.dead = true
	for _, r := range l.running {
		w.sys.rec.ended(r.rec, "crashed", 0)
		w.sys.gangs.left(r, l, "crashed")
	}
	l.running = map[string]*run{}
	srv := w.server
	w.mu.Unlock()
	_ = srv.Close()
	w.sys.rec.note("worker %s lifetime %s ended", w.name, l.id)
}

type workerCall struct {
	Task, Spec, LastCheckpoint, Ticket string
	Run, LastSeen, WaitMs, Percent     int
	UntilMs                            int64
	FencingToken                       uint64
}

func (w *worker) serve(l *life, path string, rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Bramleythread-Expected-Instance"); id != "" && id != l.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	late := w.late
	w.mu.Unlock()
	if late != nil {
		if d := late(path); d > 0 {
			go func() {
				time.Sleep(d)
				w.mu.Lock()
				target := w.life // a new lifetime under the same id cannot tell
				same := target.id == l.id && !target.dead
				w.mu.Unlock()
				if same {
					w.sys.rec.note("late %s %s.%d carried out at %s", path, c.Task, c.Run, w.name)
					target.handle(path, c, nil)
				}
			}()
			<-r.Context().Done()
			return
		}
	}
	status, out := l.handle(path, c, r.Context().Done())
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	answer(rw, status, out)
}

// handle carries out a call. It returns 0 if the lifetime has ended.
func (l *life) handle(path string, c workerCall, gone <-chan struct{}) (int, map[string]any) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.dead {
		return 0, nil
	}
	out := map[string]any{"born": l.born}
	fail := func(reason string) (int, map[string]any) {
		out["Reason"], out["ClockMs"] = reason, l.clock().Milliseconds()
		return http.StatusConflict, out
	}
	if c.FencingToken < l.fence {
		return fail("fence")
	}
	l.fence = c.FencingToken
	l.expire()
	switch path {
	case "run-start":
		until := time.Duration(c.UntilMs) * time.Millisecond
		if until <= l.clock() {
			return fail("late")
		}
		l.extend(until)
		if r := l.running[c.Task]; r != nil && r.number == c.Run {
			break
		}
		if c.Run <= l.newest[c.Task] {
			return fail("old")
		}
		l.startRun(c)
	case "run-stop":
		l.newest[c.Task] = max(l.newest[c.Task], c.Run)
		if r := l.running[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopGrace * 3 / 4)
		}
	case "hold":
		l.extend(time.Duration(c.UntilMs) * time.Millisecond)
		i := 0
		for i < len(l.ends) && l.ends[i].n <= c.LastSeen {
			if l.ends[i].laps == l.lapses {
				w.sys.rec.noted(l.ends[i].rec)
			}
			i++
		}
		l.ends = l.ends[i:]
		if len(l.ends) == 0 && c.WaitMs > 0 {
			deadline := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
			for waiting := true; waiting && len(l.ends) == 0 && !l.dead; {
				changed := l.changed
				w.mu.Unlock()
				select {
				case <-changed:
				case <-deadline:
					waiting = false
				case <-gone:
					waiting = false
				}
				w.mu.Lock()
			}
			if l.dead {
				return 0, nil
			}
		}
		running, ended := [][]any{}, [][]any{}
		for _, r := range l.running {
			load := 0
			running = append(running, []any{r.task, r.number, r.saved, r.percent(), load})
		}
		for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, e.save})
		}
		out["Running"], out["EndedRuns"] = running, ended
	}
	out["ClockMs"] = l.clock().Milliseconds()
	return http.StatusOK, out
}

func (l *life) extend(until time.Duration) {
	l.lease = max(l.lease, min(until, l.clock()+maxHold))
}

// expire kills everything if the lease has ended.
func (l *life) expire() {
	if l.lease == 0 || l.clock() < l.lease {
		return
	}
	l.lease = 0
	for _, r := range sorted(l.running) {
		l.endRun(r, "lapsed")
	}
	l.lapses++
}

func sorted(m map[string]*run) []*run {
	var out []*run
	for _, r := range m {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}

func (r *run) progress() time.Duration {
	if r.working.IsZero() {
		return r.base
	}
	return r.base + max(time.Since(r.working), 0)
}

func (r *run) percent() int {
	if r.dur <= 0 {
		if time.Since(r.begun) > 500*time.Millisecond {
			return 100
		}
		return 0
	}
	return min(int(100*r.progress()/r.dur), 100)
}

func (l *life) startRun(c workerCall) {
	sys := l.w.sys
	r := &run{task: c.Task, number: c.Run, begun: time.Now()}
	r.rec = sys.rec.started(l, c)
	sp := sys.rec.specOf(c.Task)
	r.dur, r.how = sp.dur, "done"
	if !sp.until.IsZero() {
		r.dur = max(time.Until(sp.until), 500*time.Millisecond)
	}
	if sp.fails(c.Task, c.Run) {
		r.how = "failed"
		r.dur = min(r.dur, 200*time.Millisecond)
	}
	r.saved = c.LastCheckpoint
	if c.LastCheckpoint != "" {
		r.base = sys.rec.progressOf(c.LastCheckpoint)
	}
	l.newest[c.Task] = max(l.newest[c.Task], 0)
	l.running[c.Task] = r
	if sp.gang > 0 {
		sys.gangs.join(r, l, sp.gang)
		return
	}
	r.work()
}

// work begins the work of a run.
func (r *run) work() {
	r.working = time.Now()
	if r.saved != "" {
		r.working = r.working.Add(restoreTime)
	}
}

// endRun lists the end of a run. The caller holds mu.
func (l *life) endRun(r *run, how string) {
	delete(l.running, r.task)
	l.newest[r.task] = max(l.newest[r.task], r.number)
	l.n++
	save := r.saved
	l.ends = append(l.ends, end{n: l.n, task: r.task, run: r.number, how: how, save: save, rec: r.rec, laps: l.lapses})
	l.w.sys.rec.ended(r.rec, how, l.n)
	close(l.changed)
	l.changed = make(chan struct{})
	l.w.sys.gangs.left(r, l, how)
}

// tickLoop ends runs when they are due.
func (l *life) tickLoop() {
	w := l.w
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if l.dead {
			w.mu.Unlock()
			return
		}
		l.expire()
		now := time.Now()
		for _, r := range sorted(l.running) {
			sp := w.sys.rec.specOf(r.task)
			if sp.saves && !r.working.IsZero() && r.progress()/saveInterval > w.sys.rec.progressOf(r.saved)/saveInterval {
				r.saved = w.sys.rec.save(r.task, r.progress())
			}
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				if sp.saves && !r.working.IsZero() {
					r.saved = w.sys.rec.save(r.task, r.progress())
				}
				l.endRun(r, "stopped")
			case sp.gang > 0 && r.working.IsZero() && now.Sub(r.begun) > gangTimeout:
				l.endRun(r, "alone")
			case sp.lasts && sp.fails(r.task, r.number) && now.Sub(r.begun) > 700*time.Millisecond:
				l.endRun(r, "failed")
			case !sp.lasts && !r.working.IsZero() && r.progress() >= r.dur:
				l.endRun(r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

// beatLoop sends liveness reports.
func (l *life) beatLoop() {
	client := &http.Client{Timeout: time.Second}
	for {
		l.w.mu.Lock()
		dead, held := l.dead, l.w.heldBeats
		l.w.mu.Unlock()
		if dead {
			return
		}
		if !held {
			l.beat(client)
		}
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// beat sends one liveness report and reports whether it was acknowledged.
func (l *life) beat(client *http.Client) bool {
	w := l.w
	w.mu.Lock()
	l.seq++
	body := map[string]any{
		"Service": serviceName, "Address": w.addr, "Zone": "z", "Version": "v1", "Slots": 8, "State": l.state, "ColdRemainingMs": 0,
		"Capacity": w.capacity, "Labels": []string{"a", w.rack}, "ClockMs": l.clock().Milliseconds(), "SeqNo": l.seq, "born": l.born,
	}
	if l.state == "draining" {
		body["RemainingMs"] = max(time.Until(l.drainEnds).Milliseconds(), 0)
	}
	w.mu.Unlock()
	return post(client, "http://"+w.control+"/-/Instances.Heartbeat/"+l.id, body) == http.StatusOK
}

// drain announces the end of the lifetime, waits and leaves.
func (w *worker) drain(stay time.Duration) {
	client := &http.Client{Timeout: time.Second}
	w.mu.Lock()
	l := w.life
	l.state, l.drainEnds = "draining", time.Now().Add(stay)
	w.mu.Unlock()
	w.sys.rec.note("worker %s drains", w.name)
	for i := 0; i < 5 && !l.beat(client); i++ {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(stay)
	post(client, "http://"+w.control+"/-/Instances.Leave/"+l.id, map[string]any{"born": l.born})
	w.crash()
}

func post(c *http.Client, url string, v any) int {
	data, err := json.Marshal(v)
	check(err)
	resp, err := c.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// gangs lets the members of a gang work once all of one run are present.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[*run]*life // by step and run
}

func gangKey(r *run) string {
	step := r.task[:strings.LastIndex(r.task, ".")]
	return fmt.Sprintf("%s#%d", step, r.number)
}

func (g *gangs) join(r *run, l *life, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangKey(r)
	if g.members[k] == nil {
		g.members[k] = make(map[*run]*life)
	}
	g.members[k][r] = l
	if len(g.members[k]) == n {
		for m, at := range g.members[k] {
			go func() {
				at.w.mu.Lock()
				defer at.w.mu.Unlock()
				m.work()
			}()
		}
	}
}

// left ends the other members of a gang whose member has ended.
func (g *gangs) left(r *run, _ *life, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangKey(r)
	others := g.members[k]
	if others[r] == nil {
		return
	}
	delete(others, r)
	if r.working.IsZero() {
		return
	}
	for m, l := range others {
		go func() {
			l.w.mu.Lock()
			defer l.w.mu.Unlock()
			if l.dead || l.running[m.task] != m {
				return
			}
			if how == "done" {
				l.endRun(m, "done")
			} else {
				l.endRun(m, "broken")
			}
		}()
	}
}

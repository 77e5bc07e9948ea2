package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const maxTaskBody = 8 << 20 // bytes

// StandinConfig sets up an upstream stand-in.
type StandinConfig struct {
	RunTime        time.Duration // of a task whose body names none
	StragglerShare float64       // share of tasks that run StragglerTimes longer
	StragglerTimes int
	ErrorShare     float64 // share of tasks that end with status 500
	Seed           uint64
	Step           func(step Step, t Task) // called at each step of a task; may be nil
}

// Step is a point in the life of a task on the stand-in.
type Step string

// Steps of a task.
const (
	StepLoaded  Step = "loaded"
	StepStarted Step = "started"
	StepRenewed Step = "renewed"
	StepEnded   Step = "ended"
)

// Execution is one task that the stand-in started.
type Execution struct {
	ID       string    `json:"id"`
	Customer string    `json:"customer"`
	Service  string    `json:"service"`
	Key      string    `json:"key"`
	Rank     int       `json:"rank"`
	Size     int       `json:"size"`
	Resumed  bool      `json:"resumed"`
	Loaded   time.Time `json:"loaded"`
	Started  time.Time `json:"started"`
	Ended    time.Time `json:"ended"` // zero while it runs
	Result   string    `json:"result"`
}

// Results of an execution.
const (
	resultAnswered     = "answered"
	resultStopped      = "stopped"
	resultCheckpointed = "checkpointed"
	resultLapsed       = "lease-lapsed"
)

// standinBody is what a test may ask of the stand-in in the body of a task.
type standinBody struct {
	RunFor string `json:"run_for"` // a time.Duration
	Fail   bool   `json:"fail"`
	Pad    int    `json:"pad"` // bytes added to the answer
}

// standinAnswer is the body of the stand-in's answers.
type standinAnswer struct {
	Task     string `json:"task"`
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Rank     int    `json:"rank"`
	Size     int    `json:"size"`
	Received string `json:"received_sha256"` // digest of the task's body
	Pad      string `json:"pad,omitempty"`
}

// loaded is a task that the stand-in holds.
type loaded struct {
	task  Task
	at    time.Time
	lease *time.Timer
	end   chan string // receives the result that ends the task early
}

// Standin is a small upstream for tests, examples and local use.
type Standin struct {
	cfg  StandinConfig
	done chan struct{}

	mu         sync.Mutex
	rng        *rand.Rand
	tasks      map[string]*loaded
	executions []Execution
	closed     bool
}

// NewStandin returns a stand-in.
func NewStandin(cfg StandinConfig) *Standin {
	return &Standin{
		cfg:   cfg,
		done:  make(chan struct{}),
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		tasks: make(map[string]*loaded),
	}
}

// Close stops every task.
func (s *Standin) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
}

// Done is closed when the stand-in has been closed.
func (s *Standin) Done() <-chan struct{} { return s.done }

// Executions returns what the stand-in has started so far.
func (s *Standin) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// SetErrorShare changes the share of tasks that end with status 500.
func (s *Standin) SetErrorShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ErrorShare = share
}

// Handler serves the task protocol, and the executions on GET /v1/executions.
func (s *Standin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+tasksPath+"{id}", s.serveRun)
	mux.HandleFunc("PUT "+tasksPath+"{id}", s.serveLoad)
	mux.HandleFunc("POST "+tasksPath+"{id}/release", s.serveRelease)
	mux.HandleFunc("PUT "+tasksPath+"{id}/lease", s.serveLease)
	mux.HandleFunc("POST "+tasksPath+"{id}/checkpoint", s.serveEnd(resultCheckpointed))
	mux.HandleFunc("DELETE "+tasksPath+"{id}", s.serveEnd(resultStopped))
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Executions())
	})
	return http.MaxBytesHandler(mux, maxTaskBody)
}

func (s *Standin) serveRun(w http.ResponseWriter, r *http.Request) {
	t, err := readTask(r)
	if err != nil {
		notStarted(w, http.StatusBadRequest)
		return
	}
	if !s.load(t) {
		notStarted(w, http.StatusConflict)
		return
	}
	s.execute(w, t.ID)
}

func (s *Standin) serveLoad(w http.ResponseWriter, r *http.Request) {
	t, err := readTask(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.load(t) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Standin) serveRelease(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !s.renew(id, r.Header.Get(headerLease)) {
		notStarted(w, http.StatusNotFound)
		return
	}
	s.execute(w, id)
}

func (s *Standin) serveLease(w http.ResponseWriter, r *http.Request) {
	if !s.renew(r.PathValue("id"), r.Header.Get(headerLease)) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Standin) serveEnd(result string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.end(r.PathValue("id"), result)
		w.WriteHeader(http.StatusNoContent)
	}
}

func notStarted(w http.ResponseWriter, status int) {
	w.Header().Set(headerState, stateNotStarted)
	w.WriteHeader(status)
}

func readTask(r *http.Request) (Task, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Task{}, err
	}
	h := r.Header
	lease, err := time.ParseDuration(h.Get(headerLease))
	if err != nil {
		return Task{}, err
	}
	rank, err := strconv.Atoi(h.Get(headerRank))
	if err != nil {
		return Task{}, err
	}
	size, err := strconv.Atoi(h.Get(headerSize))
	if err != nil {
		return Task{}, err
	}
	return Task{
		ID:         r.PathValue("id"),
		Customer:   h.Get(headerCustomer),
		Service:    h.Get(headerService),
		Key:        h.Get(headerKey),
		Checkpoint: h.Get(headerCheckpoint),
		Rank:       rank,
		Size:       size,
		Lease:      lease,
		Body:       body,
	}, nil
}

// load keeps a task under its lease. It reports false for a known id.
func (s *Standin) load(t Task) bool {
	if !s.insert(t) {
		return false
	}
	s.step(StepLoaded, t)
	return true
}

func (s *Standin) insert(t Task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.tasks[t.ID]; ok || s.closed {
		return false
	}
	x := &loaded{task: t, at: time.Now(), end: make(chan string, 1)}
	x.lease = time.AfterFunc(t.Lease, func() { s.lapse(t.ID, x) })
	s.tasks[t.ID] = x
	return true
}

func (s *Standin) step(step Step, t Task) {
	if s.cfg.Step != nil {
		s.cfg.Step(step, t)
	}
}

func (s *Standin) renew(id, lease string) bool {
	d, err := time.ParseDuration(lease)
	if err != nil {
		return false
	}
	s.mu.Lock()
	x, ok := s.tasks[id]
	if ok {
		x.lease.Reset(d)
	}
	s.mu.Unlock()
	if ok {
		s.step(StepRenewed, x.task)
	}
	return ok
}

// lapse ends a task whose lease was not renewed.
func (s *Standin) lapse(id string, x *loaded) {
	s.mu.Lock()
	same := s.tasks[id] == x
	s.mu.Unlock()
	if same {
		s.end(id, resultLapsed)
	}
}

// end makes a running task end early and drops a loaded one.
func (s *Standin) end(id, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.tasks[id]
	if !ok {
		return
	}
	select {
	case x.end <- result:
	default:
	}
	delete(s.tasks, id)
	x.lease.Stop()
}

// begin records the start of a task.
func (s *Standin) begin(id string) (x *loaded, index int, fail bool, runFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.tasks[id]
	if !ok {
		return nil, 0, false, 0
	}
	var want standinBody
	_ = json.Unmarshal(x.task.Body, &want)
	runFor, err := time.ParseDuration(want.RunFor)
	if err != nil {
		runFor = s.cfg.RunTime
	}
	if s.rng.Float64() < s.cfg.StragglerShare {
		runFor *= time.Duration(max(s.cfg.StragglerTimes, 1))
	}
	fail = want.Fail || s.rng.Float64() < s.cfg.ErrorShare
	s.executions = append(s.executions, Execution{
		ID:       id,
		Customer: x.task.Customer,
		Service:  x.task.Service,
		Key:      x.task.Key,
		Rank:     x.task.Rank,
		Size:     x.task.Size,
		Resumed:  x.task.Checkpoint != "",
		Loaded:   x.at,
		Started:  time.Now(),
	})
	return x, len(s.executions) - 1, fail, runFor
}

func (s *Standin) finish(id string, index int, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[index].Ended = time.Now()
	s.executions[index].Result = result
	if x, ok := s.tasks[id]; ok {
		x.lease.Stop()
		delete(s.tasks, id)
	}
}

// execute runs a loaded task to its end and writes its answer.
func (s *Standin) execute(w http.ResponseWriter, id string) {
	x, index, fail, runFor := s.begin(id)
	if x == nil {
		notStarted(w, http.StatusNotFound)
		return
	}
	s.step(StepStarted, x.task)
	result := s.wait(x, runFor)
	s.finish(id, index, result)
	s.step(StepEnded, x.task)
	switch {
	case result == resultCheckpointed:
		w.Header().Set(headerState, stateCheckpointed)
		w.Header().Set(headerCheckpoint, "checkpoint/"+id)
		w.WriteHeader(http.StatusConflict)
	case result != resultAnswered:
		w.Header().Set(headerState, stateStopped)
		w.WriteHeader(http.StatusConflict)
	case fail:
		http.Error(w, "task failed", http.StatusInternalServerError)
	default:
		writeAnswer(w, x.task)
	}
}

// wait lasts as long as the task runs. A caller that goes away does not stop
// it: only its lease does.
func (s *Standin) wait(x *loaded, runFor time.Duration) string {
	if runFor <= 0 {
		return resultAnswered
	}
	t := time.NewTimer(runFor)
	defer t.Stop()
	select {
	case <-t.C:
		return resultAnswered
	case result := <-x.end:
		return result
	case <-s.done:
		return resultStopped
	}
}

func writeAnswer(w http.ResponseWriter, t Task) {
	var want standinBody
	_ = json.Unmarshal(t.Body, &want)
	digest := sha256.Sum256(t.Body)
	body, _ := json.Marshal(standinAnswer{
		Task:     t.ID,
		Customer: t.Customer,
		Service:  t.Service,
		Rank:     t.Rank,
		Size:     t.Size,
		Received: hex.EncodeToString(digest[:]),
		Pad:      string(make([]byte, max(want.Pad, 0))),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

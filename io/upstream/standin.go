package upstream

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const maxTaskBody = 8 << 20 // bytes

// StandinConfig sets up an upstream stand-in.
type StandinConfig struct {
	DefaultRunTime  time.Duration // of a task whose body names none
	StragglerRate   float64       // share of tasks that run StragglerTimes longer
	StragglerFactor int
	ErrorRate       float64 // share of tasks that end with status 500
	Seed            uint64
	OnEvent         func(step TaskEvent, t Task) // called at each step of a task; may be nil
}

// TaskEvent is a point in the life of a task on the stand-in.
type TaskEvent string

// Steps of a task.
const (
	EventLoaded  TaskEvent = "loaded"
	EventStarted TaskEvent = "started"
	EventRenewed TaskEvent = "renewed"
	EventEnded   TaskEvent = "ended"
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

// SetErrorRate changes the share of tasks that end with status 500.
func (s *Standin) SetErrorRate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ErrorRate = share
}

// load keeps a task under its lease. It reports false for a known id.
func (s *Standin) load(t Task) bool {
	if !s.insert(t) {
		return false
	}
	s.step(EventLoaded, t)
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

func (s *Standin) step(step TaskEvent, t Task) {
	if s.cfg.OnEvent != nil {
		s.cfg.OnEvent(step, t)
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
		s.step(EventRenewed, x.task)
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
		runFor = s.cfg.DefaultRunTime
	}
	if s.rng.Float64() < s.cfg.StragglerRate {
		runFor *= time.Duration(max(s.cfg.StragglerFactor, 1))
	}
	fail = want.Fail || s.rng.Float64() < s.cfg.ErrorRate
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

package upstream

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const maxTaskBody = 8 << 20 // bytes

// StandinConfig configures a Standin.
type StandinConfig struct {
	DefaultRunTime  time.Duration // of a task whose body has no run_for
	StragglerRate   float64       // fraction of tasks that run StragglerFactor times as long
	StragglerFactor int
	ErrorRate       float64 // fraction of tasks that fail with status 500
	Seed            uint64
	OnEvent         func(event TaskEvent, t Task) // called on each event of a task; may be nil
}

// TaskEvent is a change in the state of a task on the stand-in.
type TaskEvent string

// Events of a task.
const (
	EventLoaded  TaskEvent = "loaded"
	EventStarted TaskEvent = "started"
	EventRenewed TaskEvent = "renewed"
	EventEnded   TaskEvent = "ended"
)

// Execution records a task that the stand-in started.
type Execution struct {
	ID       string    `json:"id"`
	Customer string    `json:"customer"`
	Service  string    `json:"service"`
	Key      string    `json:"key"`
	Rank     int       `json:"rank"`
	Size     int       `json:"size"`
	Resumed  bool      `json:"resumed"` // started from a checkpoint
	Loaded   time.Time `json:"loaded"`
	Started  time.Time `json:"started"`
	Ended    time.Time `json:"ended"` // zero while the task runs
	Result   string    `json:"result"`
}

// Results of an execution.
const (
	resultAnswered     = "answered"
	resultStopped      = "stopped"
	resultCheckpointed = "checkpointed"
	resultLeaseExpired = "lease-lapsed"
)

// taskOptions is the body of a task, by which a test controls how the stand-in
// runs it.
type taskOptions struct {
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

// loadedTask is a task that is loaded or running on the stand-in.
type loadedTask struct {
	task     Task
	loadedAt time.Time
	lease    *time.Timer
	end      chan string // receives the result if the task ends early
}

// Standin is a minimal upstream for tests, examples and local use. Its tasks do
// nothing but wait.
type Standin struct {
	cfg  StandinConfig
	done chan struct{}

	mu         sync.Mutex
	rng        *rand.Rand
	tasks      map[string]*loadedTask
	executions []Execution
	closed     bool
}

// NewStandin returns a stand-in.
func NewStandin(cfg StandinConfig) *Standin {
	return &Standin{
		cfg:   cfg,
		done:  make(chan struct{}),
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		tasks: make(map[string]*loadedTask),
	}
}

// Close stops all tasks.
func (s *Standin) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
}

// Done returns a channel that is closed by Close.
func (s *Standin) Done() <-chan struct{} { return s.done }

// Executions returns the tasks that have been started so far.
func (s *Standin) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// SetErrorRate sets the fraction of tasks that fail with status 500.
func (s *Standin) SetErrorRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.ErrorRate = rate
}

// load adds a task and starts its lease. It returns false if the id is already
// known or the stand-in is closed.
func (s *Standin) load(t Task) bool {
	if !s.insert(t) {
		return false
	}
	s.notify(EventLoaded, t)
	return true
}

func (s *Standin) insert(t Task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.tasks[t.ID]; ok || s.closed {
		return false
	}
	x := &loadedTask{task: t, loadedAt: time.Now(), end: make(chan string, 1)}
	x.lease = time.AfterFunc(t.Lease, func() { s.expireLease(t.ID, x) })
	s.tasks[t.ID] = x
	return true
}

func (s *Standin) notify(event TaskEvent, t Task) {
	if s.cfg.OnEvent != nil {
		s.cfg.OnEvent(event, t)
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
		s.notify(EventRenewed, x.task)
	}
	return ok
}

// expireLease ends a task whose lease was not renewed in time.
func (s *Standin) expireLease(id string, x *loadedTask) {
	s.mu.Lock()
	same := s.tasks[id] == x
	s.mu.Unlock()
	if same {
		s.end(id, resultLeaseExpired)
	}
}

// end stops a running task, or discards a loaded one.
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

// begin records the start of a task and chooses its run time and whether it
// fails. x is nil if the id is not known.
func (s *Standin) begin(id string) (x *loadedTask, index int, fail bool, runFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.tasks[id]
	if !ok {
		return nil, 0, false, 0
	}
	var options taskOptions
	_ = json.Unmarshal(x.task.Body, &options)
	runFor, err := time.ParseDuration(options.RunFor)
	if err != nil {
		runFor = s.cfg.DefaultRunTime
	}
	if s.rng.Float64() < s.cfg.StragglerRate {
		runFor *= time.Duration(max(s.cfg.StragglerFactor, 1))
	}
	fail = options.Fail || s.rng.Float64() < s.cfg.ErrorRate
	s.executions = append(s.executions, Execution{
		ID:       id,
		Customer: x.task.Customer,
		Service:  x.task.Service,
		Key:      x.task.Key,
		Rank:     x.task.Rank,
		Size:     x.task.Size,
		Resumed:  x.task.Checkpoint != "",
		Loaded:   x.loadedAt,
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

// wait blocks until the task has ended and returns its result. A caller that
// disconnects does not stop the task: unless it is stopped, the task runs until it
// is complete or its lease expires.
func (s *Standin) wait(x *loadedTask, runFor time.Duration) string {
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

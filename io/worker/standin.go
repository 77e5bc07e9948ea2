package worker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"bramleythread/io/wire"
)

// StandinConfig configures a stand-in.
type StandinConfig struct {
	Info           wire.WorkerInfo
	DefaultRunTime time.Duration // for a task whose spec is not a duration
	MaxLease       time.Duration // longest lease; the worker shortens longer ones
	StopDelay      time.Duration // time from a stop request to the end of the run
	MaxListedEnds  int           // ends that one response lists; 0 means all
}

// StandinFaults are the failures that a stand-in simulates. The zero value
// simulates none.
type StandinFaults struct {
	DelayedCalls int           // number of calls that get no response and take effect late
	CallDelay    time.Duration // delay of these calls
	FailRuns     bool          // every run fails
	HangRuns     bool          // no run makes progress
	Unresponsive bool          // calls get no response and have no effect
}

// Standin is an in-memory worker for tests and local use. It simulates a task
// by waiting for the duration given in its spec.
type Standin struct {
	cfg        StandinConfig
	start      time.Time
	mu         sync.Mutex
	faults     StandinFaults
	crashed    bool
	token      uint64
	leaseEnd   time.Time
	runs       map[wire.TaskID]*standinRun
	newestRuns map[wire.TaskID]int // latest run of each task that was stopped or has ended
	ended      []wire.EndedRun
	history    []StandinRun
	acked      map[int]bool // numbers of the ends acknowledged before the lease has lapsed
	lapsedAt   time.Time    // when the lease was last renewed after it had lapsed
	endNumber  int
	starts     map[wire.TaskRun]int // number of starts of each run
	endSignal  chan struct{}        // closed when a run may have ended
}

type standinRun struct {
	number    int
	doneAt    time.Time // when its work completes
	startedAt time.Time
	stopAt    time.Time // when its stop takes effect, or zero
	spec      string
	percent   int // of full speed
}

// NewStandin returns a worker without runs.
func NewStandin(cfg StandinConfig) *Standin {
	return &Standin{
		cfg: cfg, start: time.Now(),
		runs: make(map[wire.TaskID]*standinRun), newestRuns: make(map[wire.TaskID]int),
		starts: make(map[wire.TaskRun]int), endSignal: make(chan struct{}), acked: make(map[int]bool),
	}
}

// errNoAnswer is returned for calls that get no response.
var errNoAnswer = errors.New("no answer")

// SetFaults replaces the simulated failures.
func (s *Standin) SetFaults(f StandinFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// StartCounts returns the number of starts of each run.
func (s *Standin) StartCounts() map[wire.TaskRun]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := make(map[wire.TaskRun]int, len(s.starts))
	for r, n := range s.starts {
		starts[r] = n
	}
	return starts
}

// Announcement returns an announcement of the worker's state.
func (s *Standin) Announcement(sequence uint64) Announcement {
	return Announcement{WorkerInfo: s.cfg.Info, Sequence: sequence}
}

// Worker returns the calls of the worker.
func (s *Standin) Worker() Worker {
	return Worker{Start: s.startRun, Stop: s.stopRun, Hold: s.hold, Pace: s.paceRun}
}

// paceRun sets the pace of a run.
func (s *Standin) paceRun(_ context.Context, o PaceRequest) error {
	return s.handleCall(func() error {
		if err := s.checkToken(o.Instance, o.Token); err != nil {
			return err
		}
		if r := s.runs[o.Task]; r != nil && r.number == o.Run {
			r.percent = o.Percent
		}
		return nil
	})
}

// RunPaces returns the pace of each run, in percent.
func (s *Standin) RunPaces() map[wire.TaskID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	paces := make(map[wire.TaskID]int, len(s.runs))
	for id, r := range s.runs {
		paces[id] = r.percent
	}
	return paces
}

// servingTailLatency returns the tail latency of a serving task, whose spec is
// "serve". It grows with the pace of the background runs beside it, whose spec is
// "fill".
func (s *Standin) servingTailLatency() time.Duration {
	latency := undisturbedLatency
	for _, r := range s.runs {
		if r.spec == "fill" {
			latency += undisturbedLatency * 2 * time.Duration(r.percent) / 100
		}
	}
	return latency
}

// undisturbedLatency is the tail latency of a serving task without background
// runs beside it.
const undisturbedLatency = 20 * time.Millisecond

// handleCall runs f now, or later and without a response if the call is
// delayed.
func (s *Standin) handleCall(f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unresponsive {
		return errNoAnswer
	}
	if s.faults.DelayedCalls > 0 {
		s.faults.DelayedCalls--
		time.AfterFunc(s.faults.CallDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.crashed {
				_ = f() // the response is discarded
			}
		})
		return errNoAnswer
	}
	return f()
}

func (s *Standin) startRun(_ context.Context, o StartRequest) error {
	return s.handleCall(func() error {
		now := time.Now()
		s.endDueRuns(now)
		if err := s.checkToken(o.Instance, o.Token); err != nil {
			return err
		}
		s.extendLease(o.LeaseEnd, now)
		if r := s.runs[o.Task]; r != nil {
			if r.number == o.Run {
				return nil
			}
			return &RefusedError{Reason: "old"}
		}
		if o.Run <= s.newestRuns[o.Task] {
			return &RefusedError{Reason: "old"}
		}
		duration, err := time.ParseDuration(o.Spec)
		if err != nil {
			duration = s.cfg.DefaultRunTime
		}
		if o.Spec == "serve" || o.Spec == "fill" { // runs until it is stopped
			duration = time.Hour
		}
		s.runs[o.Task] = &standinRun{number: o.Run, startedAt: now, doneAt: now.Add(duration), spec: o.Spec, percent: 100}
		s.starts[wire.TaskRun{Task: o.Task, Run: o.Run}]++
		time.AfterFunc(duration, s.wake)
		return nil
	})
}

func (s *Standin) stopRun(_ context.Context, o StopRequest) error {
	return s.handleCall(func() error {
		now := time.Now()
		s.endDueRuns(now)
		if err := s.checkToken(o.Instance, o.Token); err != nil {
			return err
		}
		s.newestRuns[o.Task] = max(s.newestRuns[o.Task], o.Run)
		if r := s.runs[o.Task]; r != nil && r.number == o.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(s.cfg.StopDelay)
			time.AfterFunc(s.cfg.StopDelay, s.wake)
		}
		return nil
	})
}

func (s *Standin) hold(ctx context.Context, o HoldRequest) (HoldReply, error) {
	t := time.NewTimer(o.Wait)
	defer t.Stop()
	for {
		var reply HoldReply
		var ends <-chan struct{}
		err := s.handleCall(func() error {
			now := time.Now()
			if err := s.checkToken(o.Instance, o.Token); err != nil {
				return err
			}
			s.endDueRuns(now)
			s.extendLease(o.LeaseEnd, now)
			s.dropAcked(o.Acked, now)
			reply, ends = s.reply(now), s.endSignal
			return nil
		})
		if err != nil || o.Wait == 0 || len(reply.Ended) > 0 {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return HoldReply{}, ctx.Err()
		case <-t.C:
			return reply, nil
		case <-ends:
		}
	}
}

// wake makes waiting hold calls check for ended runs again.
func (s *Standin) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.endSignal)
	s.endSignal = make(chan struct{})
}

func (s *Standin) checkToken(instance string, token uint64) error {
	if instance != s.cfg.Info.Instance {
		return &RefusedError{Reason: ReasonOtherLifetime}
	}
	if token < s.token {
		return &RefusedError{Reason: "fence"}
	}
	s.token = token
	return nil
}

func (s *Standin) extendLease(until time.Duration, now time.Time) {
	end := s.start.Add(until)
	if limit := now.Add(s.cfg.MaxLease); end.After(limit) {
		end = limit
	}
	if until > 0 && end.After(s.leaseEnd) {
		if now.After(s.leaseEnd) {
			s.lapsedAt = now
		}
		s.leaseEnd = end
	}
}

// endDueRuns ends the runs that are due by now, each at its own time.
func (s *Standin) endDueRuns(now time.Time) {
	for id, r := range s.runs {
		if at, outcome := s.nextEnd(r); !at.After(now) {
			s.endRun(id, r, outcome, at)
		}
	}
}

// nextEnd returns when and how a run ends if nothing else happens.
func (s *Standin) nextEnd(r *standinRun) (time.Time, wire.RunEnd) {
	at, outcome := s.leaseEnd, wire.EndLeaseExpired
	if !r.stopAt.IsZero() && r.stopAt.Before(at) {
		at, outcome = r.stopAt, wire.EndStopped
	}
	if !s.faults.HangRuns && r.doneAt.Before(at) {
		at, outcome = r.doneAt, wire.EndDone
		if s.faults.FailRuns {
			outcome = wire.EndFailed
		}
	}
	return at, outcome
}

func (s *Standin) endRun(id wire.TaskID, r *standinRun, outcome wire.RunEnd, at time.Time) {
	delete(s.runs, id)
	s.endNumber++
	s.newestRuns[id] = max(s.newestRuns[id], r.number)
	s.ended = append(s.ended, wire.EndedRun{Number: s.endNumber, Task: id, Run: r.number, End: outcome})
	s.history = append(s.history, StandinRun{
		TaskRun: wire.TaskRun{Task: id, Run: r.number}, Started: r.startedAt, Ended: at, Outcome: outcome, number: s.endNumber,
	})
}

// StandinRun is a run of a stand-in's history.
type StandinRun struct {
	wire.TaskRun
	Started, Ended time.Time
	Outcome        wire.RunEnd
	Acked          bool // the end has been acknowledged, and the lease had not lapsed since it

	number int
}

// Crash ends the worker and all its runs. It answers no calls from then on, not even
// those that are waiting.
func (s *Standin) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.endDueRuns(now)
	for id, r := range s.runs {
		s.endRun(id, r, wire.EndCrashed, now)
	}
	s.crashed, s.faults = true, StandinFaults{Unresponsive: true}
	close(s.endSignal)
	s.endSignal = make(chan struct{})
}

// RunHistory returns all runs that have ended, and those still running with
// the current time as their end.
func (s *Standin) RunHistory() []StandinRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.endDueRuns(now)
	history := append([]StandinRun(nil), s.history...)
	for i := range history {
		history[i].Acked = s.acked[history[i].number]
	}
	for id, r := range s.runs {
		history = append(history, StandinRun{TaskRun: wire.TaskRun{Task: id, Run: r.number}, Started: r.startedAt, Ended: now})
	}
	return history
}

// dropAcked forgets the ends up to a number. If the lease has lapsed since an end, the
// acknowledgement comes too late: the scheduler may have started the task again.
func (s *Standin) dropAcked(acked int, now time.Time) {
	kept := s.ended[:0]
	for _, e := range s.ended {
		if e.Number > acked {
			kept = append(kept, e)
			continue
		}
		i := slices.IndexFunc(s.history, func(r StandinRun) bool { return r.number == e.Number })
		s.acked[e.Number] = !now.After(s.leaseEnd) && s.lapsedAt.Before(s.history[i].Ended)
	}
	s.ended = kept
}

func (s *Standin) reply(now time.Time) HoldReply {
	reply := HoldReply{Clock: now.Sub(s.start), Born: s.cfg.Info.Born, Ended: append([]wire.EndedRun(nil), s.ended...)}
	if n := s.cfg.MaxListedEnds; n > 0 && len(reply.Ended) > n {
		reply.Ended, reply.MoreEnds = reply.Ended[:n], true
	}
	for id, r := range s.runs {
		t := wire.RunningTask{Task: id, Run: r.number}
		if total := r.doneAt.Sub(r.startedAt); total > 0 && !s.faults.HangRuns {
			t.Percent = int(min(99, 100*now.Sub(r.startedAt)/total))
		}
		if r.spec == "serve" {
			t.Percent, t.Load = 100, int(s.servingTailLatency().Milliseconds())
		}
		reply.Running = append(reply.Running, t)
	}
	return reply
}

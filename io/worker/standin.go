package worker

import (
	"context"
	"errors"
	"sync"
	"time"

	"bramleythread/io/wire"
)

// StandinConfig sets up a stand-in.
type StandinConfig struct {
	Info           wire.WorkerInfo
	DefaultRunTime time.Duration // of a task whose spec is not a duration
	MaxLease       time.Duration // of one lease
	StopDelay      time.Duration // until a run that is told to stop has ended
}

// StandinFaults are the failures that a stand-in shows. The zero value is a
// sound worker.
type StandinFaults struct {
	DelayedCalls int           // so many orders get no answer and are carried out late
	CallDelay    time.Duration // by so much
	FailRuns     bool          // every run fails
	HangRuns     bool          // no run gets on
	Unresponsive bool          // no call is answered or carried out
}

// Standin is a worker in memory, for tests and local use. It runs a task by
// waiting, for the duration that its spec states.
type Standin struct {
	cfg     StandinConfig
	start   time.Time
	mu      sync.Mutex
	faults  StandinFaults
	crashed bool
	token   uint64
	until   time.Time // end of the lease
	runs    map[wire.TaskID]*standinRun
	last    map[wire.TaskID]int // newest run that was stopped or has ended
	ended   []wire.EndedRun
	history []StandinRun
	acked   int // ends up to this number are forgotten
	number  int
	starts  map[wire.TaskRun]int // how often each run has begun
	ends    chan struct{}        // closed at the next end
}

type standinRun struct {
	number  int
	until   time.Time // when its work is done
	began   time.Time
	stopped time.Time // when its stop takes effect
	spec    string
	percent int // of full speed
}

// NewStandin returns a worker that runs nothing.
func NewStandin(cfg StandinConfig) *Standin {
	return &Standin{
		cfg: cfg, start: time.Now(),
		runs: make(map[wire.TaskID]*standinRun), last: make(map[wire.TaskID]int),
		starts: make(map[wire.TaskRun]int), ends: make(chan struct{}),
	}
}

// errNoAnswer is what the caller of a silent worker sees.
var errNoAnswer = errors.New("no answer")

// SetFaults replaces the failures that the worker shows.
func (s *Standin) SetFaults(f StandinFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// StartCounts returns how often each run has begun.
func (s *Standin) StartCounts() map[wire.TaskRun]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := make(map[wire.TaskRun]int, len(s.starts))
	for r, n := range s.starts {
		starts[r] = n
	}
	return starts
}

// Announcement returns what the worker says of itself.
func (s *Standin) Announcement(sequence uint64) Announcement {
	return Announcement{WorkerInfo: s.cfg.Info, Sequence: sequence, Clock: time.Since(s.start)}
}

// Worker returns the worker's functions.
func (s *Standin) Worker() Worker {
	return Worker{Start: s.startRun, Stop: s.stopRun, Hold: s.hold, Pace: s.paceRun}
}

// paceRun sets the pace of a run.
func (s *Standin) paceRun(_ context.Context, o PaceRequest) error {
	return s.order(func() error {
		if err := s.fence(o.Instance, o.Token); err != nil {
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

// disturbed returns the latency of a serving task whose spec starts with
// "serve": it grows with the pace of the runs beside it whose spec is "fill".
func (s *Standin) disturbed() time.Duration {
	latency := servingLatency
	for _, r := range s.runs {
		if r.spec == "fill" {
			latency += servingLatency * 2 * time.Duration(r.percent) / 100
		}
	}
	return latency
}

// servingLatency is the tail latency of a serving task that nobody disturbs.
const servingLatency = 20 * time.Millisecond

// order carries out an order now, or late and without an answer.
func (s *Standin) order(f func() error) error {
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
				_ = f() // nobody hears the answer
			}
		})
		return errNoAnswer
	}
	return f()
}

func (s *Standin) startRun(_ context.Context, o StartRequest) error {
	return s.order(func() error {
		now := time.Now()
		s.settle(now)
		if err := s.fence(o.Instance, o.Token); err != nil {
			return err
		}
		s.extend(o.LeaseEnd, now)
		if r := s.runs[o.Task]; r != nil {
			if r.number == o.Run {
				return nil
			}
			return &RefusedError{Reason: "old"}
		}
		if o.Run <= s.last[o.Task] {
			return &RefusedError{Reason: "old"}
		}
		took, err := time.ParseDuration(o.Spec)
		if err != nil {
			took = s.cfg.DefaultRunTime
		}
		if o.Spec == "serve" || o.Spec == "fill" { // until it is stopped
			took = time.Hour
		}
		s.runs[o.Task] = &standinRun{number: o.Run, began: now, until: now.Add(took), spec: o.Spec, percent: 100}
		s.starts[wire.TaskRun{Task: o.Task, Run: o.Run}]++
		time.AfterFunc(took, s.wake)
		return nil
	})
}

func (s *Standin) stopRun(_ context.Context, o StopRequest) error {
	return s.order(func() error {
		now := time.Now()
		s.settle(now)
		if err := s.fence(o.Instance, o.Token); err != nil {
			return err
		}
		s.last[o.Task] = max(s.last[o.Task], o.Run)
		if r := s.runs[o.Task]; r != nil && r.number == o.Run && r.stopped.IsZero() {
			r.stopped = now.Add(s.cfg.StopDelay)
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
		err := s.order(func() error {
			now := time.Now()
			if err := s.fence(o.Instance, o.Token); err != nil {
				return err
			}
			s.settle(now)
			s.extend(o.LeaseEnd, now)
			s.forget(o.Acked)
			reply, ends = s.reply(now), s.ends
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

// wake lets waiting holds look again.
func (s *Standin) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ends)
	s.ends = make(chan struct{})
}

func (s *Standin) fence(instance string, token uint64) error {
	if instance != s.cfg.Info.Instance {
		return &RefusedError{Reason: ReasonOtherLifetime}
	}
	if token < s.token {
		return &RefusedError{Reason: "fence"}
	}
	s.token = token
	return nil
}

func (s *Standin) extend(until time.Duration, now time.Time) {
	end := s.start.Add(until)
	if limit := now.Add(s.cfg.MaxLease); end.After(limit) {
		end = limit
	}
	if until > 0 && end.After(s.until) {
		s.until = end
	}
}

// settle takes in what has ended by now, each at its own time.
func (s *Standin) settle(now time.Time) {
	for id, r := range s.runs {
		if at, how := s.ending(r); !at.After(now) {
			s.end(id, r, how, at)
		}
	}
}

// ending returns when and how a run ends if nothing else happens.
func (s *Standin) ending(r *standinRun) (time.Time, wire.RunEnd) {
	at, how := s.until, wire.EndLeaseExpired
	if !r.stopped.IsZero() && r.stopped.Before(at) {
		at, how = r.stopped, wire.EndStopped
	}
	if !s.faults.HangRuns && r.until.Before(at) {
		at, how = r.until, wire.EndDone
		if s.faults.FailRuns {
			how = wire.EndFailed
		}
	}
	return at, how
}

func (s *Standin) end(id wire.TaskID, r *standinRun, how wire.RunEnd, at time.Time) {
	delete(s.runs, id)
	s.number++
	s.last[id] = max(s.last[id], r.number)
	s.ended = append(s.ended, wire.EndedRun{Number: s.number, Task: id, Run: r.number, End: how})
	s.history = append(s.history, StandinRun{
		TaskRun: wire.TaskRun{Task: id, Run: r.number}, Started: r.began, Ended: at, Outcome: how, number: s.number,
	})
}

// StandinRun is a run that a stand-in has had.
type StandinRun struct {
	wire.TaskRun
	Started, Ended time.Time
	Outcome        wire.RunEnd
	Acked          bool // the worker was told to forget the end

	number int
}

// Crash ends the worker and all that it runs. It answers nothing from then on.
func (s *Standin) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.settle(now)
	for id, r := range s.runs {
		s.end(id, r, wire.EndCrashed, now)
	}
	s.crashed, s.faults = true, StandinFaults{Unresponsive: true}
}

// RunHistory returns all runs that have ended by now, and those that go on with an
// end of now.
func (s *Standin) RunHistory() []StandinRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.settle(now)
	history := append([]StandinRun(nil), s.history...)
	for i := range history {
		history[i].Acked = history[i].number <= s.acked
	}
	for id, r := range s.runs {
		history = append(history, StandinRun{TaskRun: wire.TaskRun{Task: id, Run: r.number}, Started: r.began, Ended: now})
	}
	return history
}

func (s *Standin) forget(acked int) {
	s.acked = max(s.acked, acked)
	kept := s.ended[:0]
	for _, e := range s.ended {
		if e.Number > acked {
			kept = append(kept, e)
		}
	}
	s.ended = kept
}

func (s *Standin) reply(now time.Time) HoldReply {
	reply := HoldReply{Clock: now.Sub(s.start), Born: s.cfg.Info.Born, Ended: append([]wire.EndedRun(nil), s.ended...)}
	for id, r := range s.runs {
		t := wire.RunningTask{Task: id, Run: r.number}
		if whole := r.until.Sub(r.began); whole > 0 && !s.faults.HangRuns {
			t.Percent = int(min(99, 100*now.Sub(r.began)/whole))
		}
		if r.spec == "serve" {
			t.Percent, t.Load = 100, int(s.disturbed().Milliseconds())
		}
		reply.Running = append(reply.Running, t)
	}
	return reply
}

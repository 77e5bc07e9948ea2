package worker_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/caller"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// testTimeout limits every wait. It is many times the duration of a takeover.
const testTimeout = 30 * time.Second

// storeLink is the connection of a process to the store, with simulated
// faults.
type storeLink struct {
	store  platform.Store
	cut    atomic.Bool                          // calls are refused
	silent atomic.Bool                          // calls get no response
	before atomic.Pointer[func(t platform.Txn)] // called before each commit

	commitsRefused atomic.Bool // commits are refused, reads are served
}

func (l *storeLink) Store() platform.Store {
	s := l.store
	refuse := func(ctx context.Context) error {
		switch {
		case l.cut.Load():
			return &platform.UnavailableError{Op: "cut"}
		case l.silent.Load():
			<-ctx.Done()
			return &platform.UnavailableError{Op: "silent", MaybeApplied: true, Cause: ctx.Err()}
		default:
			return nil
		}
	}
	s.Get = func(ctx context.Context, key string) (platform.Row, error) {
		if err := refuse(ctx); err != nil {
			return platform.Row{}, err
		}
		return l.store.Get(ctx, key)
	}
	s.Commit = func(ctx context.Context, t platform.Txn) (uint64, error) {
		if err := refuse(ctx); err != nil {
			return 0, err
		}
		if before := l.before.Load(); before != nil {
			(*before)(t)
		}
		if l.commitsRefused.Load() {
			return 0, &platform.UnavailableError{Op: "refused"}
		}
		return l.store.Commit(ctx, t)
	}
	s.Watch = func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
		if err := refuse(ctx); err != nil {
			return platform.Changes{}, err
		}
		return l.store.Watch(ctx, table, after, wait)
	}
	return s
}

// system is a store, entries, and agents with their workers in one process.
type system struct {
	t       *testing.T
	store   *platform.Standin
	linked  atomic.Int64                      // number of connections of agents to a scheduler
	listen  func(l net.Listener) net.Listener // changes the listeners of entries
	links   []*storeLink
	entries []*scheduler.Candidate
	agents  []*worker.Agent
	workers []*worker.Standin
}

func newSystem(t *testing.T, entries, workers int) *system {
	return newSystemWith(t, entries, workers, func(*worker.StandinConfig) {})
}

func newSystemWith(t *testing.T, entries, workers int, change func(cfg *worker.StandinConfig)) *system {
	s := &system{t: t, store: platform.NewStandin()}
	for range entries {
		s.startEntry()
	}
	for i := range workers {
		cfg := worker.StandinConfig{
			Info: wire.WorkerInfo{
				Instance: fmt.Sprintf("i-%d", i), Born: 1, Service: "podcheck", Rack: "rack", Labels: []string{"a", "rack"},
				Capacity: wire.Resources{CPU: 8000, Memory: 8000, Accelerators: 8}, State: wire.WorkerReady,
			},
			DefaultRunTime: 50 * time.Millisecond, MaxLease: 6 * time.Second, StopDelay: 20 * time.Millisecond,
		}
		change(&cfg)
		w := worker.NewStandin(cfg)
		s.workers = append(s.workers, w)
		s.agents = append(s.agents, nil)
		s.startAgent(i)
	}
	t.Cleanup(func() {
		for _, a := range s.agents {
			a.Close()
		}
		for _, e := range s.entries {
			e.Close()
		}
	})
	return s
}

func (s *system) startEntry() { s.startEntryWith(func(*scheduler.Config) {}) }

func (s *system) startEntryWith(change func(cfg *scheduler.Config)) {
	i := len(s.entries)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	if s.listen != nil {
		l = s.listen(l)
	}
	entryStore := &storeLink{store: s.store.Store()}
	s.links = append(s.links, entryStore)
	cfg := scheduler.Config{
		Node: fmt.Sprintf("entry-%d", i), Address: address, Store: entryStore.Store(),
		Log: zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
			if message == "agent_linked" {
				s.linked.Add(1)
			}
		})),
		Metrics:    scheduler.NewMetrics(prometheus.NewRegistry()),
		Guarantees: func() map[string]int { return nil },
		Engine:     job.Config{LeaseLimit: scheduler.WorkerLeaseExpiry, Retention: time.Hour, RackFactor: 3},
	}
	change(&cfg)
	s.entries = append(s.entries, scheduler.Start(cfg, l))
}

func (s *system) startAgent(i int) {
	a := worker.Start(worker.Config{
		Node: fmt.Sprintf("side-%d", i), Store: s.store.Store(), Worker: s.workers[i].Worker(),
		Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	a.Announce(s.workers[i].Announcement(1))
	s.agents[i] = a
}

// jobs returns the job API of an entry.
func (s *system) jobs(entry int) *caller.Jobs {
	health := platform.NewHealth(s.store.Store(), zerolog.Nop(), prometheus.NewRegistry())
	return &caller.Jobs{Store: health.MonitoredStore(), Health: health, CallScheduler: s.entries[entry].Call, Log: zerolog.Nop(),
		Metrics: caller.NewJobMetrics(prometheus.NewRegistry(), caller.StaticCatalog(nil)),
	}
}

func (s *system) submit(id, spec string, steps ...wire.JobStep) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := s.jobs(0).Submit(ctx, wire.Job{
		ID: id, Queue: "q", Customer: "c", Service: "podcheck", Spec: spec, Priority: 1, Attempts: 3, Stretch: 3,
		Accepted: time.Now(), Steps: steps,
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) waitState(id string, want wire.JobState) {
	s.t.Helper()
	var state wire.JobState
	var err error
	s.wait(func() bool {
		state, _, err = s.jobs(0).State(context.Background(), "q", id)
		return err == nil && state == want
	}, func() string { return fmt.Sprintf("job %s is %q (%v), want %q", id, state, err, want) })
}

func (s *system) wait(ok func() bool, what func() string) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal(what())
		}
	}
}

// waitStarts waits until n runs have started.
func (s *system) waitStarts(n int) {
	s.t.Helper()
	s.wait(func() bool { return len(s.starts()) >= n }, func() string { return fmt.Sprintf("%d of %d runs have started", len(s.starts()), n) })
}

// starts returns the number of starts of each run, and fails the test if a run
// has started twice.
func (s *system) starts() map[wire.TaskRun]int {
	s.t.Helper()
	all := make(map[wire.TaskRun]int)
	for _, w := range s.workers {
		for r, n := range w.StartCounts() {
			all[r] += n
		}
	}
	for r, n := range all {
		if n > 1 {
			s.t.Fatalf("run %v has started %d times", r, n)
		}
	}
	return all
}

// holder returns the index of the entry that is the scheduler.
func (s *system) holder() int {
	s.t.Helper()
	holder := -1
	s.wait(func() bool {
		row, err := s.store.Store().Get(context.Background(), "scheduler/lease")
		if err != nil || row.Revision == 0 {
			return false
		}
		var l wire.SchedulerLease
		if _, err := l.UnmarshalMsg(row.Value); err != nil {
			s.t.Fatal(err)
		}
		_, err = fmt.Sscanf(l.Holder, "entry-%d", &holder)
		return err == nil && !l.Released
	}, func() string { return "no scheduler" })
	return holder
}

func tasks(n int) wire.JobStep {
	return wire.JobStep{Count: n, Demand: wire.Resources{CPU: 1000, Memory: 1000, Accelerators: 1}}
}

func TestJobCompletes(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, 2)
	second := tasks(2)
	second.After = []int{0}
	s.submit("j", "", tasks(12), second)
	s.waitState("j", wire.JobCompleted)
	is.Equal(len(s.starts()), 14)
}

func TestRunsSurviveFaults(t *testing.T) {
	tests := map[string]func(s *system){
		"scheduler cut off from the store": func(s *system) {
			old := s.holder()
			s.links[old].cut.Store(true)
			s.wait(func() bool { return s.holder() != old }, func() string { return "no entry took over" })
			s.links[old].cut.Store(false)
		},
		"planned stop of the scheduler": func(s *system) {
			old := s.holder()
			s.entries[old].Close()
			s.wait(func() bool { return s.holder() != old }, func() string { return "no entry took over" })
		},
		"store outage": func(s *system) {
			s.store.SetFaults(platform.Faults{Outage: true})
			time.Sleep(time.Second)
			s.store.SetFaults(platform.Faults{})
		},
		"lost responses of the store": func(s *system) {
			s.store.SetFaults(platform.Faults{LostReplies: 5})
		},
		"lost history of the store": func(s *system) {
			s.store.Compact()
		},
		"restart of all agents": func(s *system) {
			for i, a := range s.agents {
				a.Close()
				s.startAgent(i)
			}
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystem(t, 2, 2)
			s.submit("j", "6s", tasks(4))
			s.waitStarts(4)
			injectFault(s)
			s.submit("k", "", tasks(4))
			s.waitState("k", wire.JobCompleted)
			s.waitState("j", wire.JobCompleted)
			is.Equal(len(s.starts()), 8) // no run was started again
		})
	}
}

func TestStoreOutageKeepsScheduler(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, 1)
	s.submit("j", "", tasks(1))
	s.waitState("j", wire.JobCompleted)
	time.Sleep(3 * time.Second) // until entries have connected and the lease has been renewed since they read it
	old, linked := s.holder(), s.linked.Load()
	s.store.SetFaults(platform.Faults{Outage: true})
	time.Sleep(3 * time.Second)
	s.store.SetFaults(platform.Faults{})
	s.submit("k", "", tasks(1))
	s.waitState("k", wire.JobCompleted)
	is.Equal(s.holder(), old)
	is.Equal(s.linked.Load(), linked) // the agents are still connected to it
}

func TestDelayedCallsStartNoRunTwice(t *testing.T) {
	s := newSystem(t, 1, 2)
	for _, w := range s.workers {
		w.SetFaults(worker.StandinFaults{DelayedCalls: 6, CallDelay: 400 * time.Millisecond})
	}
	s.submit("j", "", tasks(16))
	s.waitState("j", wire.JobCompleted)
	s.starts()
}

func TestCancelJob(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, 1)
	s.submit("j", "1m", tasks(2))
	s.waitStarts(2)
	ok, err := s.jobs(0).Cancel(context.Background(), "q", "j")
	is.NoErr(err)
	is.True(ok)
	s.waitState("j", wire.JobCancelled)
	ok, err = s.jobs(0).Cancel(context.Background(), "q", "unknown")
	is.NoErr(err)
	is.True(!ok)
	// The resources are free again.
	s.submit("k", "", tasks(8))
	s.waitState("k", wire.JobCompleted)
}

func TestJobFailsAfterRepeatedRunFailures(t *testing.T) {
	s := newSystem(t, 1, 3)
	for _, w := range s.workers {
		w.SetFaults(worker.StandinFaults{FailRuns: true})
	}
	s.submit("j", "", tasks(1))
	s.waitState("j", wire.JobFailed)
}

func TestSubmitFailsDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, 1)
	jobs := s.jobs(0)
	s.store.SetFaults(platform.Faults{Outage: true})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := jobs.Submit(ctx, wire.Job{ID: "j", Queue: "q", Service: "podcheck", Steps: []wire.JobStep{tasks(1)}})
	refused, ok := err.(*caller.NotAcceptedError) //nolint:errorlint // it must not be wrapped
	is.True(ok)
	is.True(refused.RetryAfter > 0)
	s.store.SetFaults(platform.Faults{})
	_, known, err := s.jobs(0).State(ctx, "q", "j")
	is.NoErr(err)
	is.True(!known) // the refused job does not exist
}

// TestBackgroundRunsArePaced runs two background tasks next to a serving task.
// At full speed one of them alone triples the serving latency, which may grow by
// half.
func TestBackgroundRunsArePaced(t *testing.T) {
	s := newSystem(t, 1, 1)
	serve, background := tasks(1), tasks(2)
	serve.LongRunning, serve.TargetLatency = true, 30*time.Millisecond
	background.LongRunning, background.UsesSpareCPU = true, true
	s.submit("serve", "serve", serve)
	s.waitStarts(1)
	s.submit("fill", "fill", background)
	s.waitStarts(3)
	s.wait(func() bool {
		paces := s.workers[0].RunPaces()
		kept := len(paces) == 3
		for id, percent := range paces {
			kept = kept && (id.Job == "serve" && percent == 100 || id.Job == "fill" && percent <= 12)
		}
		return kept
	}, func() string { return fmt.Sprintf("paces are %v", s.workers[0].RunPaces()) })
}

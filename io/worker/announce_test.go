package worker_test

import (
	"context"
	"io"
	"math"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestAnnouncementsOfOtherWritersAreIgnored guards against an announcement of
// another writer that displaces the worker's own lifetime. The worker must go on
// to get its orders.
func TestAnnouncementsOfOtherWritersAreIgnored(t *testing.T) {
	own := wire.WorkerInfo{Instance: "i-1", Born: 5, Service: "s", State: wire.WorkerReady}
	tests := map[string]struct {
		change  func(n *worker.Announcement)
		atStart bool // it arrives before the first announcement of the worker
	}{
		"service that is not configured, other id": {change: func(n *worker.Announcement) {
			n.Instance, n.Born, n.Service = "i-2", 6, "other"
		}},
		"service that is not configured, same lifetime": {change: func(n *worker.Announcement) {
			n.Service, n.Sequence = "other", math.MaxUint64
		}},
		"configured service, other id": {change: func(n *worker.Announcement) {
			n.Instance, n.Born = "i-2", 6
		}},
		"configured service, same id, later lifetime": {change: func(n *worker.Announcement) {
			n.Born = math.MaxInt64
		}},
		"configured service, other id, at the agent's start": {atStart: true, change: func(n *worker.Announcement) {
			n.Instance, n.Born = "i-2", 6
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := platform.NewStandin().Store()
			s := newScriptedScheduler(t, store)
			standin := worker.NewStandin(worker.StandinConfig{Info: own, MaxLease: 6 * time.Second, StopDelay: time.Millisecond})
			a := worker.Start(worker.Config{
				Node: "side-1", Store: store, Worker: standin.Worker(), Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
				Services: func(context.Context) ([]string, error) { return []string{"s"}, nil },
			})
			defer a.Close()
			foreign := standin.Announcement(2)
			tt.change(&foreign)
			wait := func(ok func() bool, what string) {
				t.Helper()
				for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal(what)
					}
				}
			}
			if tt.atStart {
				a.Announce(foreign)
			}
			conn := <-s.conns
			orders := &wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8, Instance: own.Instance, Born: own.Born}
			is.NoErr(conn.Send(orders))
			is.True(a.Announce(standin.Announcement(1)))
			wait(func() bool { return s.reports.Load() > 0 }, "no report")
			if !tt.atStart {
				a.Announce(foreign)
				time.Sleep(50 * time.Millisecond) // until the worker has been asked about it
			}
			is.True(a.Announce(standin.Announcement(3)))
			wait(func() bool { r := s.last.Load(); return r != nil && r.Worker.Instance == own.Instance }, "no report on the worker")

			run := wire.TaskRun{Task: wire.TaskID{Job: "j"}, Run: 1}
			orders.Sequence, orders.LastReportSent = 2, s.last.Load().Sent
			orders.Starts = []wire.StartTask{{Task: run.Task, Run: run.Run, Spec: "1m"}}
			is.NoErr(conn.Send(orders))
			wait(func() bool { return standin.StartCounts()[run] == 1 }, "the run is not started")
			is.Equal(s.last.Load().Worker.Service, own.Service)
		})
	}
}

// TestAnnouncedServiceIsReadAgain announces a service that is added to the
// configuration later, and one while the configuration cannot be read.
func TestAnnouncedServiceIsReadAgain(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	var names []string
	err := error(&platform.UnavailableError{Op: "get"})
	standin := worker.NewStandin(worker.StandinConfig{Info: wire.WorkerInfo{Instance: "i-1", Born: 5, Service: "s", State: wire.WorkerReady}})
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: standin.Worker(), Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
		Services: func(context.Context) ([]string, error) { return names, err },
	})
	defer a.Close()
	is.True(!a.Announce(standin.Announcement(1))) // not readable
	err = nil
	is.True(!a.Announce(standin.Announcement(2))) // not named
	names = []string{"s"}
	for end := time.Now().Add(testTimeout); !a.Announce(standin.Announcement(3)); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the service is not read again")
		}
	}
}

// TestLeaveBeforeLifetimeIsConfirmed ends a worker before it has confirmed its
// lifetime to a restarted agent. The end must be reported all the same.
func TestLeaveBeforeLifetimeIsConfirmed(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	var down atomic.Bool
	w := worker.Worker{Hold: func(context.Context, worker.HoldRequest) (worker.HoldReply, error) {
		if down.Load() {
			return worker.HoldReply{}, &worker.DownError{Cause: syscall.ECONNREFUSED}
		}
		return worker.HoldReply{}, &worker.RefusedError{Reason: "fence"}
	}}
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	is.True(a.Announce(worker.Announcement{WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 5, State: wire.WorkerDraining}, Sequence: 1}))
	a.WorkerLeft("i-1", 5)
	down.Store(true)
	conn := <-s.conns
	is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8}))
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if r := s.last.Load(); r != nil {
			is.Equal(r.Worker.Instance, "i-1")
			is.Equal(r.Worker.State, wire.WorkerGone)
			break
		}
		if time.Now().After(end) {
			t.Fatal("the end of the worker is not reported")
		}
	}
}

// TestLifetimeShownTwiceIsAdoptedOnce guards against orders that are dropped because a
// lifetime is adopted a second time: an answer of the worker has shown it while its
// announcement was being confirmed.
func TestLifetimeShownTwiceIsAdoptedOnce(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	var again atomic.Bool
	confirming, confirm := make(chan struct{}), make(chan struct{})
	var lifetimes atomic.Int64
	w := worker.Worker{Hold: func(_ context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
		if !again.Load() {
			time.Sleep(5 * time.Millisecond)
			return worker.HoldReply{Born: 1}, nil
		}
		if o.Wait == 0 && o.LeaseEnd == 0 {
			select {
			case confirming <- struct{}{}: // the call that confirms the announcement
				<-confirm
			default:
			}
		}
		time.Sleep(5 * time.Millisecond)
		return worker.HoldReply{Born: 2}, nil
	}}
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
		if message == "worker_lifetime" {
			lifetimes.Add(1)
		}
	}))
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: w, Log: log, Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	info := wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}
	is.True(a.Announce(worker.Announcement{WorkerInfo: info, Sequence: 1}))
	is.Equal(lifetimes.Load(), int64(1))
	again.Store(true)
	info.Born = 2
	announced := make(chan bool, 1)
	go func() { announced <- a.Announce(worker.Announcement{WorkerInfo: info, Sequence: 1}) }()
	<-confirming
	conn := <-s.conns
	is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8})) // the agent polls the worker
	for end := time.Now().Add(testTimeout); lifetimes.Load() < 2; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answer of the worker has not shown the lifetime")
		}
	}
	close(confirm)
	is.True(<-announced)
	is.Equal(lifetimes.Load(), int64(2))
}

// TestWorkerStartedAgainUnderItsID guards against an agent that takes a worker for an
// earlier lifetime until the later one has announced itself. It must acknowledge
// nothing by the earlier one's numbers, give the worker no new work, and report what
// the later lifetime does.
func TestWorkerStartedAgainUnderItsID(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	run := wire.TaskRun{Task: wire.TaskID{Job: "j"}, Run: 1}
	var again, crashed atomic.Bool
	var acked, started atomic.Int64
	w := worker.Worker{
		Hold: func(ctx context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
			if !again.Load() {
				time.Sleep(5 * time.Millisecond)
				return worker.HoldReply{Born: 1, Clock: time.Hour}, nil
			}
			if crashed.CompareAndSwap(false, true) { // the call that was open at the crash
				return worker.HoldReply{}, &platform.UnavailableError{Op: "hold"}
			}
			acked.Add(int64(o.Acked))
			time.Sleep(5 * time.Millisecond)
			return worker.HoldReply{Born: 2, Clock: time.Second, Ended: []wire.EndedRun{{Number: 1, Task: run.Task, Run: run.Run, End: wire.EndDone}}}, nil
		},
		Start: func(context.Context, worker.StartRequest) error {
			started.Add(1)
			return nil
		},
	}
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	announcement := worker.Announcement{WorkerInfo: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, Sequence: 1}
	is.True(a.Announce(announcement))
	conn := <-s.conns
	orders := &wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8, Instance: "i-1", Born: 1, AckedEnds: 5}
	is.NoErr(conn.Send(orders))
	report := func(ok func(r *wire.WorkerReport) bool) *wire.WorkerReport {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			if r := s.last.Load(); r != nil && ok(r) {
				return r
			}
			if time.Now().After(end) {
				t.Fatalf("no such report, the last one is %v", s.last.Load())
			}
		}
	}
	report(func(r *wire.WorkerReport) bool { return r.Worker.Born == 1 })

	again.Store(true)
	r := report(func(r *wire.WorkerReport) bool { return r.Worker.Born == 2 })
	is.Equal(r.Worker.State, wire.WorkerUnannounced)
	is.Equal(len(r.Ended), 1)
	orders.Sequence, orders.LastReportSent = 2, time.Hour
	orders.Starts = []wire.StartTask{{Task: wire.TaskID{Job: "k"}, Run: 1}} // still for the earlier lifetime
	is.NoErr(conn.Send(orders))
	announcement.Sequence = 2
	is.True(!a.Announce(announcement)) // of the earlier lifetime, delayed
	sequence := s.last.Load().Sequence
	report(func(r *wire.WorkerReport) bool { return r.Sequence > sequence+1 })
	is.Equal(acked.Load(), int64(0))
	is.Equal(started.Load(), int64(0))

	announcement.Born, announcement.Sequence = 2, 1
	is.True(a.Announce(announcement))
	report(func(r *wire.WorkerReport) bool { return r.Worker.Born == 2 && r.Worker.State == wire.WorkerReady })
}

// TestLifetimeAfterClockStep guards against a worker whose announcements are ignored for
// good, because the clock of its VM was set back before it started again.
func TestLifetimeAfterClockStep(t *testing.T) {
	tests := map[string]struct {
		instance string // that the worker has now
		born     int64  // that its answers show now
		adopted  bool
	}{
		"same id":                         {instance: "i-1", born: 3, adopted: true},
		"another id":                      {instance: "i-2", born: 3, adopted: true},
		"delayed, of an earlier lifetime": {instance: "i-1", born: 5},
		"answers show no start time":      {instance: "i-1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var instance atomic.Value
			var born atomic.Int64
			instance.Store("i-1")
			born.Store(5)
			w := worker.Worker{Hold: func(_ context.Context, o worker.HoldRequest) (worker.HoldReply, error) {
				if o.Instance != instance.Load() {
					return worker.HoldReply{}, &worker.RefusedError{Reason: worker.ReasonOtherLifetime}
				}
				return worker.HoldReply{Born: born.Load()}, nil
			}}
			a := worker.Start(worker.Config{
				Node: "side-1", Store: platform.NewStandin().Store(), Worker: w, Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
			})
			defer a.Close()
			info := wire.WorkerInfo{Instance: "i-1", Born: 5, State: wire.WorkerReady}
			is.True(a.Announce(worker.Announcement{WorkerInfo: info, Sequence: 7}))
			instance.Store(tt.instance)
			born.Store(tt.born)
			info.Instance, info.Born = tt.instance, 3
			is.Equal(a.Announce(worker.Announcement{WorkerInfo: info, Sequence: 1}), tt.adopted)
			info.Instance, info.Born = "i-1", 5
			is.Equal(a.Announce(worker.Announcement{WorkerInfo: info, Sequence: 8}), !tt.adopted)
		})
	}
}

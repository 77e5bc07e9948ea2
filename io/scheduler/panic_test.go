package scheduler

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// startCandidate starts the only candidate of a store.
func startCandidate(t *testing.T, store platform.Store, change func(cfg *Config)) *Candidate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startCandidateOn(t, l, store, change)
}

func startCandidateOn(t *testing.T, l net.Listener, store platform.Store, change func(cfg *Config)) *Candidate {
	t.Helper()
	cfg := Config{
		Node: "entry-0", Address: l.Addr().(*net.TCPAddr).AddrPort(), Store: store, Log: zerolog.Nop(),
		Metrics: NewMetrics(prometheus.NewRegistry()), Guarantees: func() map[string]int { return nil },
		Engine: job.Config{LeaseLimit: WorkerLeaseExpiry, Retention: time.Hour, RackFactor: 3},
	}
	if change != nil {
		change(&cfg)
	}
	c := Start(cfg, l)
	t.Cleanup(c.Close)
	return c
}

// waitLease waits until the store has a lease that meets the condition.
func waitLease(t *testing.T, store platform.Store, ok func(l wire.SchedulerLease) bool) wire.SchedulerLease {
	t.Helper()
	for end := time.Now().Add(linkTestTimeout); ; time.Sleep(5 * time.Millisecond) {
		l, revision, err := readLease(context.Background(), store)
		if err == nil && revision > 0 && ok(l) {
			return l
		}
		if time.Now().After(end) {
			t.Fatal("no such lease")
		}
	}
}

// scriptedAgent is the agent of node side-0. It sends only what the test sends.
type scriptedAgent struct {
	conn   *frame.Conn
	orders chan *wire.WorkerOrders
}

// dialAgent connects to the holder of a lease and returns once the holder has sent
// its first orders.
func dialAgent(t *testing.T, lease wire.SchedulerLease) *scriptedAgent {
	t.Helper()
	for end := time.Now().Add(linkTestTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a := &scriptedAgent{orders: make(chan *wire.WorkerOrders, 1000)}
		var err error
		a.conn, err = frame.Dial(context.Background(), lease.Address, frame.Config{
			Local: wire.Hello{Role: wire.RoleAgent, Name: "side-0"}, Key: lease.Key,
			Handle: func(_ context.Context, _ *frame.Conn, m wire.Message) wire.Message {
				if o, ok := m.(*wire.WorkerOrders); ok {
					a.orders <- o
				}
				return nil
			},
		})
		if err != nil {
			continue
		}
		t.Cleanup(a.conn.Close)
		select {
		case <-a.orders:
			return a
		case <-a.conn.Done(): // the holder is not ready yet
		}
	}
	t.Fatal("the holder accepts no agent")
	return nil
}

// TestPanicEndsOnlyTheTerm makes the scheduler panic once. The process takes the
// lease again and schedules from the stored rows.
func TestPanicEndsOnlyTheTerm(t *testing.T) {
	report := &wire.WorkerReport{Sequence: 1, Node: "side-0", Worker: wire.WorkerInfo{
		Instance: "i-1", Born: 1, Service: "s", State: wire.WorkerReady, Capacity: wire.Resources{CPU: 8000},
	}}
	tests := map[string]func(cfg *Config, armed *atomic.Bool){
		"in a scheduling round": func(cfg *Config, armed *atomic.Bool) {
			cfg.Guarantees = func() map[string]int {
				if armed.CompareAndSwap(true, false) {
					panic("round")
				}
				return nil
			}
		},
		"while a message is handled": func(cfg *Config, armed *atomic.Bool) {
			cfg.Engine.OnDecision = func(d job.Decision) {
				if d.Kind == "run_end" && armed.CompareAndSwap(true, false) {
					panic("message")
				}
			}
		},
	}
	for name, setUp := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var armed atomic.Bool
			store := platform.NewStandin().Store()
			c := startCandidate(t, store, func(cfg *Config) { setUp(cfg, &armed) })
			lease := waitLease(t, store, func(l wire.SchedulerLease) bool { return true })
			agent := dialAgent(t, lease)
			is.NoErr(agent.conn.Send(report))
			ctx, cancel := context.WithTimeout(context.Background(), linkTestTimeout)
			defer cancel()
			for { // until the holder accepts submissions
				j := wire.Job{ID: "j", Queue: "q", Service: "s", Attempts: 3, Accepted: time.Now(), Steps: []wire.JobStep{{Count: 1}}}
				m, err := c.Call(ctx, &wire.SubmitJob{Job: j})
				if a, ok := m.(*wire.SubmitAnswer); err == nil && ok && a.Outcome != wire.SubmitDeclined {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			waitState := func(want wire.JobState) {
				for {
					m, err := c.Call(ctx, &wire.JobQuery{ID: "j"})
					if a, ok := m.(*wire.JobAnswer); err == nil && ok && a.State == want {
						return
					}
					is.NoErr(ctx.Err())
					time.Sleep(5 * time.Millisecond)
				}
			}
			waitState(wire.JobRunning)
			armed.Store(true)
			failed := *report
			failed.Sequence = 2
			failed.Ended = []wire.EndedRun{{Number: 1, Task: wire.TaskID{Job: "j"}, Run: 1, End: wire.EndFailed}}
			is.NoErr(agent.conn.Send(&failed))
			next := waitLease(t, store, func(l wire.SchedulerLease) bool { return l.Epoch > lease.Epoch && !l.Released })
			again := dialAgent(t, next)
			done := *report
			done.Ended = []wire.EndedRun{{Number: 1, Task: wire.TaskID{Job: "j"}, Run: 1, End: wire.EndDone}}
			is.NoErr(again.conn.Send(&done))
			waitState(wire.JobCompleted)
		})
	}
}

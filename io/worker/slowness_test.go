package worker_test

import (
	"testing"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestAgentKeepsSlowness guards against the factor of a worker being lost with the
// connection to the scheduler that learned it.
func TestAgentKeepsSlowness(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	s := newScriptedScheduler(t, store)
	standin := worker.NewStandin(worker.StandinConfig{
		Info: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}, MaxLease: 6 * time.Second,
	})
	a := worker.Start(worker.Config{
		Node: "side-1", Store: store, Worker: standin.Worker(), Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
	})
	defer a.Close()
	a.Announce(standin.Announcement(1))
	reported := func(want wire.WorkerSlowness) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			if r := s.last.Load(); r != nil && r.Slowness != nil && *r.Slowness == want {
				return
			}
			if time.Now().After(end) {
				t.Fatal("not reported in time")
			}
		}
	}
	first, second := wire.WorkerSlowness{Model: 1, Born: 1, Log: 0.5, Sigma: 0.1}, wire.WorkerSlowness{Model: 9, Born: 1, Log: 0.7, Sigma: 0.2}
	conn := <-s.conns
	is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8, Slowness: &first}))
	reported(first)
	is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 2, Epoch: 1, Token: 1 << 8, Slowness: &second}))
	reported(second)
	conn.Close()
	conn = <-s.conns
	s.last.Store(nil)
	is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 2 << 8})) // of a scheduler that knows nothing
	reported(second)
}

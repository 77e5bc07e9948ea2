package worker_test

import (
	"testing"

	"bramleythread/io/platform"
	"bramleythread/io/wire"
	"bramleythread/io/worker"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// TestZoneOfWorker guards against a worker that names no zone and is therefore in none
// that can be evacuated.
func TestZoneOfWorker(t *testing.T) {
	for name, tt := range map[string]struct{ announced, reported string }{
		"named":     {announced: "b", reported: "b"},
		"not named": {reported: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := platform.NewStandin().Store()
			s := newScriptedScheduler(t, store)
			w := worker.NewStandin(worker.StandinConfig{Info: wire.WorkerInfo{
				Instance: "i-1", Born: 1, Zone: tt.announced, State: wire.WorkerReady,
			}})
			a := worker.Start(worker.Config{
				Node: "side-1", Zone: "a", Store: store, Worker: w.Worker(), Log: zerolog.Nop(), Metrics: worker.NewMetrics(prometheus.NewRegistry()),
			})
			defer a.Close()
			a.Announce(w.Announcement(1))
			conn := <-s.conns
			is.NoErr(conn.Send(&wire.WorkerOrders{Sequence: 1, Epoch: 1, Token: 1 << 8}))
			eventually(t, func() bool { return s.last.Load() != nil })
			is.Equal(s.last.Load().Worker.Zone, tt.reported)
		})
	}
}

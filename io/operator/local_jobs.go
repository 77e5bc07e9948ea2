package operator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/core/job"
	"bramleythread/io/caller"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"
	"bramleythread/io/worker"
)

// Parameters of the local system's workers for durable jobs.
const (
	localCPUMillicores   = 8000
	localMemoryMiB       = 16384
	localRunTime         = 200 * time.Millisecond
	localStopDelay       = 20 * time.Millisecond
	localLeaseLimit      = 6 * time.Second
	localRevocationLimit = 5 * time.Second
	localEvacuationLimit = 5 * time.Second
	announceInterval     = time.Second
)

// localJobs runs durable jobs in the local system.
type localJobs struct {
	api       *caller.JobAPI
	catalog   *caller.Catalog
	candidate *scheduler.Candidate
	agents    []*worker.Agent
	stop      chan struct{} // closed to stop the announcements
	done      chan struct{} // closed when the announcements have stopped
}

// startLocalJobs starts a scheduler and agents with stand-in workers, and adds
// the job API to the entry's mux.
func startLocalJobs(mux *http.ServeMux, store platform.Store, cfg *config.Config, log zerolog.Logger) (*localJobs, error) {
	control, addr, err := listen(loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	health := platform.NewHealth(store, log, registry)
	catalog := caller.WatchCatalog(caller.CatalogConfig{
		Health: health, Store: health.MonitoredStore(), Log: log, Table: platform.EvacuationTable, Initial: caller.CatalogFromConfig(cfg),
		EvacuatedZone: platform.EvacuatedZone, EvacuationLimit: localEvacuationLimit,
		PollWait: caller.PollWait(localRevocationLimit, localEvacuationLimit),
	})
	metrics := scheduler.NewMetrics(registry)
	l := &localJobs{catalog: catalog, stop: make(chan struct{}), done: make(chan struct{})}
	l.candidate = scheduler.Start(scheduler.Config{
		Node: "local", Address: addr, Store: health.MonitoredStore(), Log: log, Metrics: metrics, Guarantees: catalog.Guarantees, Evacuation: catalog.Evacuation,
		Engine: job.Config{
			LeaseLimit: scheduler.WorkerLeaseExpiry, Retention: minRetention, RackFactor: 1, EvacuationLimit: localEvacuationLimit, OnDecision: logDecision(log, metrics),
		},
	}, control)
	var standins []*worker.Standin
	for i := range localWorkers {
		w := worker.NewStandin(worker.StandinConfig{
			Info: wire.WorkerInfo{
				Instance: fmt.Sprintf("worker-%d", i+1), Born: 1, Zone: "loopback", Rack: "loopback-1",
				Service: cfg.Services[i%len(cfg.Services)].Name, Labels: []string{"loopback-1"}, State: wire.WorkerReady,
				Capacity: wire.Resources{CPU: localCPUMillicores, Memory: localMemoryMiB, Accelerators: localAccelerators},
			},
			DefaultRunTime: localRunTime, MaxLease: localLeaseLimit, StopDelay: localStopDelay,
		})
		standins = append(standins, w)
		l.agents = append(l.agents, worker.Start(worker.Config{
			Node: fmt.Sprintf("agent-%d", i+1), Store: health.MonitoredStore(), Worker: w.Worker(), Log: log,
			Metrics: worker.NewMetrics(prometheus.NewRegistry()),
		}))
	}
	go l.announce(standins)
	l.api = &caller.JobAPI{
		Admission: caller.NewAdmissionController(catalog, health, localRevocationLimit),
		Jobs: &caller.Jobs{
			Store: health.MonitoredStore(), Health: health, CallScheduler: l.candidate.Call, Log: log, Metrics: caller.NewJobMetrics(registry, catalog),
		},
	}
	l.api.Register(mux)
	l.api.Jobs.RegisterStatus(mux)
	return l, nil
}

// announce sends the workers' announcements to their agents periodically.
func (l *localJobs) announce(standins []*worker.Standin) {
	defer close(l.done)
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for sequence := uint64(1); ; sequence++ {
		for i, w := range standins {
			l.agents[i].Announce(w.Announcement(sequence))
		}
		select {
		case <-l.stop:
			return
		case <-t.C:
		}
	}
}

func (l *localJobs) kill() {
	close(l.stop)
	<-l.done
	for _, a := range l.agents {
		a.Close()
	}
	l.candidate.Close()
	l.catalog.Close()
}

package emulate

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/wire"
)

// Delays and limits of the processes around the engine, as in the real system.
const (
	tickInterval   = 250 * time.Millisecond
	batchDelay     = 8 * time.Millisecond // from a change to the next scheduling round
	reportInterval = 500 * time.Millisecond
	leaseLimit     = 11 * time.Second
	drainTime      = 90 * time.Second      // time for open jobs to end after the traffic
	slowFactor     = 6                     // slowdown of a machine with FaultSlow
	rejectDelay    = 20 * time.Millisecond // from the start of a run to its failure on a machine with FaultReject
)

// startTime is the virtual time at which every simulation starts.
var startTime = time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)

// event is a function to call at a virtual time. Events with the same time run
// in the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// simulation is the state of one simulated run of a scenario.
type simulation struct {
	scenario               *Scenario
	now                    time.Duration // since startTime
	seq                    int           // of the latest event
	events                 eventQueue
	engine                 *job.Engine
	requests               map[string]*simRequest
	machines               []*machine
	machineByNode          map[string]*machine
	committing             bool // a store transaction is in progress
	roundRequested         bool
	wastedWork             float64 // core-seconds that were lost, of totalWork
	totalWork              float64 // core-seconds of all ended runs
	idleAcceleratorSeconds float64 // accelerators idle while jobs waited
}

func newSimulation(s *Scenario, policy job.Policy) *simulation {
	sim := &simulation{scenario: s, requests: make(map[string]*simRequest), machineByNode: make(map[string]*machine)}
	cfg := job.Config{LeaseLimit: leaseLimit, Retention: time.Hour, RackFactor: s.RackFactor, Policy: policy}
	if policy.KnownRunTimes {
		cfg.Oracle = sim.runTime
	}
	sim.engine = job.New(cfg, startTime)
	sim.engine.SetGuarantees(s.GuaranteedAccelerators)
	for i := range s.Workers {
		m := newMachine(sim, i)
		sim.machines = append(sim.machines, m)
		sim.machineByNode[m.node] = m
	}
	return sim
}

// runTime returns the true run time of a task on a worker, or on one with the factor
// 1 if node is empty.
func (sim *simulation) runTime(id wire.TaskID, node string) (time.Duration, bool) {
	r, ok := sim.requests[id.Job]
	if !ok {
		return 0, false
	}
	d := r.work[id.Step][id.Index]
	if m, ok := sim.machineByNode[node]; ok {
		d = time.Duration(float64(d) * m.slowness)
	}
	return d, true
}

func (sim *simulation) clock() time.Time { return startTime.Add(sim.now) }

// after schedules fn to run after d of virtual time.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, fn: fn})
}

// run submits the requests, injects the faults of the scenario and processes
// events until drainTime after the end of the traffic.
func (sim *simulation) run(requests []*simRequest, seed uint64) {
	for _, r := range requests {
		sim.requests[r.job.ID] = r
		sim.after(r.submittedAt, func() { sim.submit(r) })
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for _, f := range sim.scenario.Faults {
		for _, i := range random.Perm(len(sim.machines))[:min(f.Count, len(sim.machines))] {
			sim.after(f.At, func() { sim.machines[i].injectFault(f.Kind, f.Duration) })
		}
	}
	for i, m := range sim.machines {
		sim.after(reportInterval*time.Duration(i)/time.Duration(len(sim.machines)), m.reportPeriodically)
	}
	sim.after(0, sim.tick)
	for end := sim.scenario.TrafficDuration + drainTime; len(sim.events) > 0; {
		e := heap.Pop(&sim.events).(event)
		if e.at > end {
			return
		}
		sim.now = e.at
		e.fn()
	}
}

// submit passes a job to the engine. Its row is stored together with its first
// runs.
func (sim *simulation) submit(r *simRequest) {
	r.job.Accepted = sim.clock()
	sim.engine.Submit(r.job, sim.clock())
	if r.cancelAfter > 0 {
		sim.after(r.cancelAfter, func() {
			sim.engine.Cancel(r.job.ID, sim.clock())
			sim.requestRound()
		})
	}
	sim.requestRound()
}

// requestRound schedules a round after batchDelay, so that several changes share
// one transaction.
func (sim *simulation) requestRound() {
	if !sim.roundRequested {
		sim.roundRequested = true
		sim.after(batchDelay, sim.runRound)
	}
}

func (sim *simulation) tick() {
	sim.runRound()
	if sim.engine.Status(sim.clock()).Waiting > 0 {
		for _, m := range sim.machines {
			sim.idleAcceleratorSeconds += float64(m.free()) * tickInterval.Seconds()
		}
	}
	sim.after(tickInterval, sim.tick)
}

// runRound lets the engine decide and commits the decisions. Orders are sent
// only after the commit.
func (sim *simulation) runRound() {
	if sim.committing {
		return
	}
	sim.roundRequested = false
	sim.engine.Tick(sim.clock())
	batch := sim.engine.Flush()
	if batch == nil {
		sim.sendOrders()
		return
	}
	sim.committing = true
	sim.after(sim.scenario.StoreDelay, func() {
		sim.committing = false
		sim.engine.MarkCommitted(batch)
		for _, c := range batch.Progress {
			if r := sim.requests[c.ID]; c.Progress.State.Final() && !r.state.Final() {
				r.state, r.endedAt = c.Progress.State, sim.now
			}
		}
		sim.sendOrders()
		if sim.roundRequested {
			sim.runRound()
		}
	})
}

// sendOrders sends orders to the workers whose orders have changed.
func (sim *simulation) sendOrders() {
	for _, node := range sim.engine.TakeChangedNodes() {
		if o, ok := sim.engine.Orders(node); ok {
			sim.after(sim.scenario.LinkDelay, func() { sim.machineByNode[node].applyOrders(o) })
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func jobID(n int, kind string) string { return fmt.Sprintf("%s-%05d", kind, n) }

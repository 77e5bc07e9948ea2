package trace

import (
	"container/heap"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
	"bramleythread/core/schedule"
	"bramleythread/core/worker"
)

// Delays of the simulated system that a trace does not specify.
const (
	heartbeatInterval  = time.Second
	checkpointDuration = 500 * time.Millisecond  // time that a task takes to save its state
	failureDelay       = 50 * time.Millisecond   // time until a task that fails does so
	detectionDelay     = 2500 * time.Millisecond // time until the entry detects a lost worker
	replanDelay        = 10 * time.Second        // time until the homes on a lost worker are moved
)

// replayStart is the virtual time at which every replay starts.
var replayStart = time.Unix(1_800_000_000, 0).UTC()

// job is the state of one request of a workload.
type job struct {
	id               string
	customer         string
	service          string
	class            Class
	runTime          time.Duration // actual run time
	remaining        time.Duration // run time left after the last checkpoint
	arrived          time.Time
	deadline         time.Time
	started          time.Time // first start; zero until then
	attemptStarted   time.Time // start of the current attempt
	ended            time.Time
	outcome          string
	attempt          int
	workers          []string
	demand           config.Demand // per worker
	home             bool          // placed on capacity reserved for its customer's guarantee
	guest            bool          // the home has a different shape than the job
	blockedAtEnqueue time.Duration // meter.blockedTime when the job entered the queue
	headOfLineTime   time.Duration // total head-of-line blocking
	failures         int
	alwaysFails      bool // on every worker

	withinGuarantee bool // arrived within its customer's guarantee
	generation      int  // incremented at each state change, to detect stale timers
	waiting         bool
	countedAsLong   bool // counted in meter.placedLong
}

// machine is a simulated worker with the task table of its agent.
type machine struct {
	name        string
	up          liveness
	table       *worker.Table
	upEvent     Event // latest worker_up event
	failing     bool  // every task that starts fails
	incarnation uint64
}

// liveness is true while a simulated worker is up.
type liveness bool

// simTimer is a function to call at a virtual time. Timers due at the same time
// run in the order of seq.
type simTimer struct {
	at  time.Time
	seq uint64
	fn  func()
}

type timerQueue []simTimer

// Len implements heap.Interface.
func (a timerQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a timerQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}

// Swap implements heap.Interface.
func (a timerQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *timerQueue) Push(x any) { *a = append(*a, x.(simTimer)) }

// Pop implements heap.Interface.
func (a *timerQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simulation is the state of one replay: an entry with its scheduler, and an
// agent's task table per worker. Messages between them arrive after a one-way
// delay.
type simulation struct {
	header        *Header
	cfg           *config.Config
	sched         *schedule.Scheduler
	plan          *plan.Plan
	machines      map[string]*machine
	machineNames  []string // in the order of their first start
	jobs          map[string]*job
	jobsByArrival []*job
	openJobs      map[string]*job // jobs without an outcome
	now           time.Time
	timers        timerQueue
	sequence      uint64 // last number given to a timer or a worker report
	meter         meter
}

func newSimulation(t *Trace, policy schedule.Policy) (*simulation, error) {
	cfg, err := t.Header.ParseConfig()
	if err != nil {
		return nil, err
	}
	sim := &simulation{
		header:   &t.Header,
		cfg:      cfg,
		sched:    schedule.New(policy),
		machines: make(map[string]*machine),
		jobs:     make(map[string]*job),
		openJobs: make(map[string]*job),
		now:      replayStart,
	}
	sim.meter.init(sim)
	sim.sched.SetConfig(cfg)
	for i := range t.Events {
		e := t.Events[i]
		sim.after(e.At, func() { sim.applyEvent(e) })
	}
	return sim, nil
}

// after schedules f to run after d of virtual time.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.sequence++
	heap.Push(&sim.timers, simTimer{at: sim.now.Add(max(d, 0)), seq: sim.sequence, fn: f})
}

// run replays the trace and stops at end.
func (sim *simulation) run(end time.Time) {
	for len(sim.timers) > 0 {
		at := sim.timers[0].at
		if timer, ok := sim.sched.NextTimer(); ok && timer.Before(at) {
			at = timer
		}
		if at.After(end) {
			break
		}
		sim.advance(at)
		for len(sim.timers) > 0 && !sim.timers[0].at.After(sim.now) {
			heap.Pop(&sim.timers).(simTimer).fn()
		}
		sim.tick()
	}
	sim.advance(end)
}

// advance integrates the measures and moves the clock to at.
func (sim *simulation) advance(at time.Time) {
	if at.After(sim.now) {
		sim.meter.integrate(at.Sub(sim.now))
		sim.now = at
	}
}

// tick runs the scheduler and applies its decisions.
func (sim *simulation) tick() {
	for _, d := range sim.sched.Tick(sim.now) {
		j := sim.jobs[d.Job]
		if d.Kind == schedule.Expire {
			sim.endJob(j, outcomeExpired)
			continue
		}
		if d.Kind == schedule.Preempt {
			sim.after(sim.header.OneWayDelay, func() { sim.preemptIfRunning(j, d.Attempt) })
			continue
		}
		sim.leaveQueue(j)
		j.attempt, j.workers, j.guest = d.Attempt, d.Workers, d.Guest
		j.home = d.Home != ""
		j.generation++
		sim.meter.jobPlaced(j)
		sim.after(sim.header.OneWayDelay, func() { sim.admit(j, d) })
	}
}

// preemptIfRunning preempts a job if the given attempt is still running.
func (sim *simulation) preemptIfRunning(j *job, attempt int) {
	if j.attempt == attempt && j.outcome == "" && !j.waiting && !j.attemptStarted.IsZero() {
		sim.preempt(j)
	}
}

// applyEvent applies one event of the trace.
func (sim *simulation) applyEvent(e Event) {
	switch e.Kind {
	case WorkerUp:
		sim.startWorker(e)
	case WorkerDown:
		sim.stopWorker(e.Worker)
	case WorkerFailing, WorkerHealed:
		if m := sim.machines[e.Worker]; m != nil {
			m.failing = e.Kind == WorkerFailing
		}
	case Submit:
		sim.submitJob(e)
	case Cancel:
		sim.cancelJob(e.Job)
	}
}

func (sim *simulation) startWorker(e Event) {
	m := sim.machines[e.Worker]
	if m == nil {
		m = &machine{name: e.Worker}
		sim.machines[e.Worker] = m
		sim.machineNames = append(sim.machineNames, e.Worker)
	}
	m.upEvent, m.up = e, true
	m.incarnation++
	m.table = worker.NewTable()
	m.table.SetCapacity(*e.Capacity)
	m.table.SetAccepting(true)
	sim.sendHeartbeat(m, m.incarnation)
	sim.replan()
}

// sendHeartbeat reports a worker to the scheduler, and again after every
// heartbeatInterval until the incarnation ends.
func (sim *simulation) sendHeartbeat(m *machine, incarnation uint64) {
	if !m.up || m.incarnation != incarnation {
		return
	}
	sim.sequence++
	sim.sched.Report(schedule.WorkerReport{
		Name:        m.name,
		Incarnation: m.incarnation,
		Sequence:    sim.sequence,
		Zone:        m.upEvent.Zone,
		Rack:        m.upEvent.Rack,
		Ready:       true,
		Capacity:    *m.upEvent.Capacity,
		Services:    m.upEvent.Services,
	}, sim.now)
	sim.after(heartbeatInterval, func() { sim.sendHeartbeat(m, incarnation) })
}

// stopWorker stops a worker and all its tasks. The scheduler marks it down after
// detectionDelay; its homes move to other workers after replanDelay.
func (sim *simulation) stopWorker(name string) {
	m := sim.machines[name]
	if m == nil || !bool(m.up) {
		return
	}
	m.up = false
	for _, j := range sim.jobsByArrival {
		if j.outcome == "" && j.running() && contains(j.workers, name) {
			sim.loseJob(j)
		}
	}
	sim.after(detectionDelay, func() {
		if !m.up {
			sim.sched.MarkDown(name)
		}
	})
	sim.after(replanDelay, sim.replan)
}

// loseJob stops a job whose worker is lost. The entry requeues it after
// detectionDelay.
func (sim *simulation) loseJob(j *job) {
	if !j.attemptStarted.IsZero() {
		sim.meter.lostWork += sim.now.Sub(j.attemptStarted) * time.Duration(len(j.workers))
	}
	sim.stopAll(j)
	j.generation++
	generation := j.generation
	sim.after(detectionDelay, func() {
		if j.generation == generation {
			sim.requeue(j, "")
		}
	})
}

// replan computes and applies a new plan for the machines that are up.
func (sim *simulation) replan() {
	var fleet []plan.Worker
	for _, name := range sim.machineNames {
		if m := sim.machines[name]; m.up {
			fleet = append(fleet, plan.Worker{Name: name, Zone: m.upEvent.Zone, Rack: m.upEvent.Rack, Capacity: *m.upEvent.Capacity})
		}
	}
	next := plan.Make(sim.cfg, 1, fleet, sim.plan)
	if sim.plan != nil && plan.SameHomes(sim.plan, next) {
		next.Version = sim.plan.Version
	}
	sim.plan = next
	sim.sched.SetPlan(next)
	for _, m := range sim.machines {
		m.table.SetHomes(next.Version, next.HomesOnWorker(m.name))
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

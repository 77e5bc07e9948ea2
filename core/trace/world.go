package trace

import (
	"container/heap"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/plan"
	"bramleythread/core/schedule"
	"bramleythread/core/worker"
)

// Times of the replayed system that are not in the trace.
const (
	heartbeat      = time.Second
	checkpointTime = 500 * time.Millisecond // that a task needs to save its state
	failTime       = 50 * time.Millisecond  // that a failing worker needs to fail
	detectTime     = 2500 * time.Millisecond
	replanTime     = 10 * time.Second // after which a lost worker's homes move
)

// epoch is the start of every replay.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// job is one request of a workload.
type job struct {
	id       string
	customer string
	service  string
	class    Class
	run      time.Duration // true run time
	left     time.Duration // of it, after the last checkpoint
	arrived  time.Time
	deadline time.Time
	started  time.Time // of the first start; zero before
	begun    time.Time // of the present attempt
	ended    time.Time
	outcome  string
	attempt  int
	workers  []string
	demand   config.Demand // on each worker
	home     bool
	guest    bool
	blocked  time.Duration // value of the blocking clock at the arrival
	hol      time.Duration // head-of-line blocking
	failures int
	fails    bool // on every worker

	guaranteed bool // it arrived within its customer's guarantee
	epoch      int  // counts starts and stops, to tell stale events
	waiting    bool
	counted    bool // by the meter, as long work that is placed
}

// machine is one worker of the replay: the agent's table, and how it fails.
type machine struct {
	name    string
	up      liveness
	table   *worker.Table
	event   Event // its worker_up
	failing bool
	incarn  uint64
}

// liveness tells whether a worker of the replay is there.
type liveness bool

// alarm is something that happens later.
type alarm struct {
	at    time.Time
	order uint64
	do    func()
}

type alarms []alarm

// Len implements heap.Interface.
func (a alarms) Len() int { return len(a) }

// Less implements heap.Interface.
func (a alarms) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}

// Swap implements heap.Interface.
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// world is the state of one replay: one entry with its scheduler, and one
// agent's table for each worker, joined by messages that take a one-way time.
type world struct {
	header   *Header
	cfg      *config.Config
	sched    *schedule.Scheduler
	plan     *plan.Plan
	machines map[string]*machine
	names    []string // of the machines, in the order of their first start
	jobs     map[string]*job
	order    []*job
	open     map[string]*job // that have no outcome yet
	now      time.Time
	queue    alarms
	sequence uint64
	meter    meter
}

func newWorld(t *Trace, policy schedule.Policy) (*world, error) {
	cfg, err := t.Header.ParseConfig()
	if err != nil {
		return nil, err
	}
	w := &world{
		header:   &t.Header,
		cfg:      cfg,
		sched:    schedule.New(policy),
		machines: make(map[string]*machine),
		jobs:     make(map[string]*job),
		open:     make(map[string]*job),
		now:      epoch,
	}
	w.meter.init(w)
	w.sched.SetConfig(cfg)
	for i := range t.Events {
		e := t.Events[i]
		w.after(e.At, func() { w.happen(e) })
	}
	return w, nil
}

// after plans f for a time from now.
func (w *world) after(d time.Duration, f func()) {
	w.sequence++
	heap.Push(&w.queue, alarm{at: w.now.Add(max(d, 0)), order: w.sequence, do: f})
}

// run replays everything, up to limit after the last event of the trace.
func (w *world) run(end time.Time) {
	for len(w.queue) > 0 {
		at := w.queue[0].at
		if timer, ok := w.sched.NextTimer(); ok && timer.Before(at) {
			at = timer
		}
		if at.After(end) {
			break
		}
		w.advance(at)
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			heap.Pop(&w.queue).(alarm).do()
		}
		w.tick()
	}
	w.advance(end)
}

// advance moves the clock and integrates the measures up to it.
func (w *world) advance(at time.Time) {
	if at.After(w.now) {
		w.meter.integrate(at.Sub(w.now))
		w.now = at
	}
}

// tick carries out the scheduler's decisions.
func (w *world) tick() {
	for _, d := range w.sched.Tick(w.now) {
		j := w.jobs[d.Job]
		if d.Kind == schedule.Expire {
			w.end(j, outcomeExpired)
			continue
		}
		if d.Kind == schedule.Preempt {
			w.after(w.header.OneWayDelay, func() { w.yield(j, d.Attempt) })
			continue
		}
		w.leaveQueue(j)
		j.attempt, j.workers, j.guest = d.Attempt, d.Workers, d.Guest
		j.home = d.Home != ""
		j.epoch++
		w.meter.placed(j)
		w.after(w.header.OneWayDelay, func() { w.admit(j, d) })
	}
}

// yield preempts a job that still runs the attempt.
func (w *world) yield(j *job, attempt int) {
	if j.attempt == attempt && j.outcome == "" && !j.waiting && !j.begun.IsZero() {
		w.preempt(j)
	}
}

// happen applies one event of the trace.
func (w *world) happen(e Event) {
	switch e.Kind {
	case WorkerUp:
		w.workerUp(e)
	case WorkerDown:
		w.workerDown(e.Worker)
	case WorkerFailing, WorkerHealed:
		if m := w.machines[e.Worker]; m != nil {
			m.failing = e.Kind == WorkerFailing
		}
	case Submit:
		w.submit(e)
	case Cancel:
		w.cancel(e.Job)
	}
}

func (w *world) workerUp(e Event) {
	m := w.machines[e.Worker]
	if m == nil {
		m = &machine{name: e.Worker}
		w.machines[e.Worker] = m
		w.names = append(w.names, e.Worker)
	}
	m.event, m.up = e, true
	m.incarn++
	m.table = worker.NewTable()
	m.table.SetCapacity(*e.Capacity)
	m.table.SetAccepting(true)
	w.beat(m, m.incarn)
	w.replan()
}

// beat reports a worker, and keeps on reporting it while it is up.
func (w *world) beat(m *machine, incarnation uint64) {
	if !m.up || m.incarn != incarnation {
		return
	}
	w.sequence++
	w.sched.Report(schedule.WorkerReport{
		Name:        m.name,
		Incarnation: m.incarn,
		Sequence:    w.sequence,
		Zone:        m.event.Zone,
		Rack:        m.event.Rack,
		Ready:       true,
		Capacity:    *m.event.Capacity,
		Services:    m.event.Services,
	}, w.now)
	w.after(heartbeat, func() { w.beat(m, incarnation) })
}

// workerDown stops a worker with all its tasks. The entry finds out when the
// reports stop; the plan moves later.
func (w *world) workerDown(name string) {
	m := w.machines[name]
	if m == nil || !bool(m.up) {
		return
	}
	m.up = false
	for _, j := range w.order {
		if j.outcome == "" && j.running() && contains(j.workers, name) {
			w.loseJob(j)
		}
	}
	w.after(detectTime, func() {
		if !m.up {
			w.sched.MarkDown(name)
		}
	})
	w.after(replanTime, w.replan)
}

// loseJob stops a job whose worker is lost; the entry queues it again.
func (w *world) loseJob(j *job) {
	if !j.begun.IsZero() {
		w.meter.lost += w.now.Sub(j.begun) * time.Duration(len(j.workers))
	}
	w.stopAll(j)
	j.epoch++
	epoch := j.epoch
	w.after(detectTime, func() {
		if j.epoch == epoch {
			w.requeue(j, "")
		}
	})
}

// replan makes a plan for the machines that are up.
func (w *world) replan() {
	var fleet []plan.Worker
	for _, name := range w.names {
		if m := w.machines[name]; m.up {
			fleet = append(fleet, plan.Worker{Name: name, Zone: m.event.Zone, Rack: m.event.Rack, Capacity: *m.event.Capacity})
		}
	}
	next := plan.Make(w.cfg, 1, fleet, w.plan)
	if w.plan != nil && plan.SameHomes(w.plan, next) {
		next.Version = w.plan.Version
	}
	w.plan = next
	w.sched.SetPlan(next)
	for _, m := range w.machines {
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

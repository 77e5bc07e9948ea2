package emulate

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/wire"
)

// Times of the processes around the engine, as they run.
const (
	tickInterval   = 250 * time.Millisecond
	batchDelay     = 8 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	leaseLimit     = 11 * time.Second
	settleTime     = 90 * time.Second // after the traffic, for what is left
	slowFactor     = 6
)

// start is the instant at which every play begins.
var start = time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)

// event is something that happens at a time. Events of one time happen in the
// order in which they were made.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// world is one play of a scenario.
type world struct {
	s        *Scenario
	now      time.Duration
	seq      int
	agenda   agenda
	engine   *job.Engine
	requests map[string]*request
	workers  []*machine
	byNode   map[string]*machine
	writing  bool // a transaction is under way
	poked    bool
	wasted   float64 // core-seconds
	worked   float64
	idle     float64 // accelerator-seconds that were free while work waited
}

func newWorld(s *Scenario, policy job.Policy) *world {
	w := &world{s: s, requests: make(map[string]*request), byNode: make(map[string]*machine)}
	w.engine = job.New(job.Config{
		LeaseLimit: leaseLimit, Retention: time.Hour, RackFactor: s.RackFactor, Policy: policy,
	}, start)
	w.engine.SetGuarantees(s.Guaranteed)
	for i := range s.Workers {
		m := newMachine(w, i)
		w.workers = append(w.workers, m)
		w.byNode[m.node] = m
	}
	return w
}

func (w *world) clock() time.Time { return start.Add(w.now) }

// after lets something happen some time from now.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, event{at: w.now + d, seq: w.seq, do: do})
}

// play plays all requests to their end.
func (w *world) play(requests []*request, seed uint64) {
	for _, r := range requests {
		w.requests[r.job.ID] = r
		w.after(r.at, func() { w.submit(r) })
	}
	random := rand.New(rand.NewPCG(seed, 2))
	for _, f := range w.s.Faults {
		for _, i := range random.Perm(len(w.workers))[:min(f.Count, len(w.workers))] {
			w.after(f.At, func() { w.workers[i].strike(f.Kind, f.For) })
		}
	}
	for i, m := range w.workers {
		w.after(reportInterval*time.Duration(i)/time.Duration(len(w.workers)), m.reportForever)
	}
	w.after(0, w.tick)
	for end := w.s.Length + settleTime; len(w.agenda) > 0; {
		e := heap.Pop(&w.agenda).(event)
		if e.at > end {
			return
		}
		w.now = e.at
		e.do()
	}
}

// submit stores a job: its row is written with its first runs.
func (w *world) submit(r *request) {
	r.job.Accepted = w.clock()
	w.engine.Submit(r.job, w.clock())
	if r.cancel > 0 {
		w.after(r.cancel, func() {
			w.engine.Cancel(r.job.ID, w.clock())
			w.poke()
		})
	}
	w.poke()
}

// poke asks for a round soon.
func (w *world) poke() {
	if !w.poked {
		w.poked = true
		w.after(batchDelay, w.round)
	}
}

func (w *world) tick() {
	w.round()
	if w.engine.Status(w.clock()).Waiting > 0 {
		for _, m := range w.workers {
			w.idle += float64(m.free()) * tickInterval.Seconds()
		}
	}
	w.after(tickInterval, w.tick)
}

// round decides and writes what was decided; orders go out once it is written.
func (w *world) round() {
	if w.writing {
		return
	}
	w.poked = false
	w.engine.Tick(w.clock())
	batch := w.engine.Flush()
	if batch == nil {
		w.send()
		return
	}
	w.writing = true
	w.after(w.s.StoreDelay, func() {
		w.writing = false
		w.engine.Committed(batch)
		for _, c := range batch.Progress {
			if r := w.requests[c.ID]; c.Progress.State.Final() && !r.state.Final() {
				r.state, r.ended = c.Progress.State, w.now
			}
		}
		w.send()
		if w.poked {
			w.round()
		}
	})
}

// send sends the orders that have changed.
func (w *world) send() {
	for _, node := range w.engine.TakeChanged() {
		if o, ok := w.engine.Orders(node); ok {
			w.after(w.s.LinkDelay, func() { w.byNode[node].obey(o) })
		}
	}
}

// machine is a worker and its agent.
type machine struct {
	w        *world
	node     string
	rack     string
	born     int64
	sequence uint64
	runs     map[wire.TaskID]*run
	ended    []wire.EndedRun
	number   int
	hang     bool
	slow     bool
	fails    bool
	down     bool
}

// run is a run on a machine. Its work goes on at a rate that may change.
type run struct {
	id      wire.TaskID
	number  int
	request *request
	saved   float64 // share of the work that was done before
	done    float64 // share of the work, as of at
	at      time.Duration
	rate    float64 // share of the work in a second
	version int     // of its end in the agenda
	began   time.Duration
	stops   bool
}

func newMachine(w *world, i int) *machine {
	return &machine{w: w, node: fmt.Sprintf("worker-%03d", i), rack: fmt.Sprintf("rack-%02d", i/w.s.Rack), born: 1, runs: make(map[wire.TaskID]*run)}
}

// free returns the accelerators that nothing uses.
func (m *machine) free() int {
	n := m.w.s.Size.Accelerators
	for _, r := range m.runs {
		n -= r.request.job.Steps[r.id.Step].Demand.Accelerators
	}
	return max(n, 0)
}

// obey carries out standing orders.
func (m *machine) obey(o wire.WorkerOrders) {
	if m.down || o.Born != m.born {
		return
	}
	m.ended = slices.DeleteFunc(m.ended, func(e wire.EndedRun) bool { return e.Number <= o.Acked })
	for _, s := range o.Starts {
		if m.runs[s.Task] == nil && !slices.ContainsFunc(m.ended, func(e wire.EndedRun) bool { return e.Task == s.Task && e.Run == s.Run }) {
			m.begin(s)
		}
	}
	for _, s := range o.Stops {
		if r := m.runs[s.Task]; r != nil && r.number == s.Run && !r.stops {
			r.stops = true
			m.w.after(m.w.s.StopTime, func() { m.stop(r) })
		}
	}
	m.report()
}

func (m *machine) begin(s wire.StartTask) {
	r := &run{id: s.Task, number: s.Run, request: m.w.requests[s.Task.Job], at: m.w.now, began: m.w.now}
	if saved, err := strconv.ParseFloat(s.Checkpoint, 64); err == nil {
		r.saved, r.done = saved, saved
	}
	m.runs[s.Task] = r
	m.w.gang(r, func(m *machine, r *run) { m.setRate(r) })
}

// gang calls f for a run and, if it is of a gang, for all members of its run.
func (w *world) gang(r *run, f func(m *machine, r *run)) {
	for _, m := range w.workers {
		for _, id := range sortedTasks(m.runs) {
			other := m.runs[id]
			if other == nil { // f has ended it
				continue
			}
			if other == r || r.step().Gang && other.id.Job == r.id.Job && other.id.Step == r.id.Step && other.number == r.number {
				f(m, other)
			}
		}
	}
}

func (r *run) step() *wire.JobStep { return &r.request.job.Steps[r.id.Step] }

// setRate brings a run's work up to now and sets when it ends at its present
// speed.
func (m *machine) setRate(r *run) {
	r.done += r.rate * (m.w.now - r.at).Seconds()
	r.at, r.rate = m.w.now, m.rate(r)
	r.version++
	if r.rate == 0 {
		return
	}
	version := r.version
	left := time.Duration((1 - r.done) / r.rate * float64(time.Second))
	m.w.after(max(left, 0), func() {
		if r.version == version && m.runs[r.id] == r {
			m.finish(r)
		}
	})
}

func (m *machine) rate(r *run) float64 {
	racks := make(map[string]bool)
	present, hang, slow := 0, false, false
	m.w.gang(r, func(other *machine, _ *run) {
		racks[other.rack] = true
		present++
		hang, slow = hang || other.hang, slow || other.slow
	})
	if hang || r.step().Gang && present < r.step().Count {
		return 0
	}
	rate := 1 / r.request.work[r.id.Step][r.id.Index].Seconds()
	if r.step().SameRack && len(racks) > 1 {
		rate /= m.w.s.RackFactor
	}
	if slow {
		rate /= slowFactor
	}
	return rate
}

// finish ends a run whose work has come to its end.
func (m *machine) finish(r *run) {
	failures, index := r.request.failures[r.id.Step], r.id.Index
	if r.step().Gang {
		index = 0 // it fails as a whole
	}
	if m.fails || failures[index] > 0 {
		if !m.fails {
			failures[index]--
		}
		m.end(r, wire.EndFailed)
		return
	}
	m.w.gang(r, func(m *machine, r *run) {
		r.done = 1
		m.end(r, wire.EndDone)
	})
}

func (m *machine) stop(r *run) {
	if m.runs[r.id] == r {
		m.setRate(r)
		m.end(r, wire.EndStopped)
	}
}

// end takes a run off the machine. The other members of its gang are broken by
// any end that is not the work's own.
func (m *machine) end(r *run, how wire.RunEnd) {
	delete(m.runs, r.id)
	r.version++
	m.number++
	e := wire.EndedRun{Number: m.number, Task: r.id, Run: r.number, How: how}
	d := r.step().Demand
	weight := float64(d.CPU)/1000 + 8*float64(d.Accelerators)
	worked := (m.w.now - r.began).Seconds() * weight
	m.w.worked += worked
	if how != wire.EndDone {
		if r.step().Checkpoints && how != wire.EndFailed {
			e.Checkpoint = strconv.FormatFloat(r.done, 'f', 4, 64)
		} else {
			m.w.wasted += worked
		}
	}
	m.ended = append(m.ended, e)
	m.report()
	if how == wire.EndDone || !r.step().Gang {
		return
	}
	m.w.gang(r, func(other *machine, member *run) {
		if member != r {
			other.end(member, wire.EndBroken)
		}
	})
}

// report tells the scheduler what runs and what has ended.
func (m *machine) report() {
	if m.down {
		return
	}
	m.sequence++
	r := &wire.WorkerReport{
		Sequence: m.sequence, Node: m.node, Looked: m.w.now + time.Second,
		Worker: wire.WorkerInfo{
			Instance: m.node, Born: m.born, Service: "service", Zone: "zone", Rack: m.rack, Labels: []string{"a", m.rack},
			Capacity: m.w.s.Size, State: wire.WorkerReady,
		},
		Ended: slices.Clone(m.ended),
	}
	for _, id := range sortedTasks(m.runs) {
		x := m.runs[id]
		done := x.done + x.rate*(m.w.now-x.at).Seconds()
		t := wire.RunningTask{Task: id, Run: x.number, Percent: int(100 * done)}
		if x.step().Checkpoints {
			t.Checkpoint = strconv.FormatFloat(m.saved(x, done), 'f', 4, 64)
		}
		r.Running = append(r.Running, t)
	}
	m.w.after(m.w.s.LinkDelay, func() {
		m.w.engine.Report(r, m.w.clock())
		m.w.poke()
	})
}

// saved returns the share of the work that the newest checkpoint holds.
func (m *machine) saved(r *run, done float64) float64 {
	each := m.w.s.CheckpointEvery.Seconds() / r.request.work[r.id.Step][r.id.Index].Seconds()
	return max(r.saved, done-mod(done, each))
}

func mod(x, y float64) float64 { return x - y*float64(int(x/y)) }

func (m *machine) reportForever() {
	m.report()
	m.w.after(reportInterval, m.reportForever)
}

// strike harms a machine for a time.
func (m *machine) strike(kind FaultKind, d time.Duration) {
	switch kind {
	case FaultHang:
		m.hang = true
	case FaultSlow:
		m.slow = true
	case FaultFail:
		m.fails = true
	case FaultCrash:
		m.crash()
	}
	m.setRates()
	m.w.after(d, func() {
		m.hang, m.slow, m.fails = false, false, false
		if m.down {
			m.down = false
			m.born++
			m.sequence, m.number, m.ended = 0, 0, nil
		}
		m.setRates()
	})
}

func (m *machine) setRates() {
	for _, id := range sortedTasks(m.runs) {
		if r := m.runs[id]; r != nil {
			m.w.gang(r, func(m *machine, r *run) { m.setRate(r) })
		}
	}
}

// crash loses all that runs. Nobody is told before the next lifetime.
func (m *machine) crash() {
	m.down = true
	for _, id := range sortedTasks(m.runs) {
		if r := m.runs[id]; r != nil {
			m.end(r, wire.EndCrashed)
		}
	}
}

func sortedTasks(runs map[wire.TaskID]*run) []wire.TaskID {
	return slices.SortedFunc(maps.Keys(runs), func(a, b wire.TaskID) int {
		if a.Job != b.Job {
			if a.Job < b.Job {
				return -1
			}
			return 1
		}
		return a.Index - b.Index
	})
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func jobID(n int, kind string) string { return fmt.Sprintf("%s-%05d", kind, n) }

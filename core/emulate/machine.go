package emulate

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"bramleythread/io/wire"
)

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
	version int     // of its end in the eventQueue
	began   time.Duration
	stops   bool
}

func newMachine(w *world, i int) *machine {
	return &machine{w: w, node: fmt.Sprintf("worker-%03d", i), rack: fmt.Sprintf("rack-%02d", i/w.s.WorkersPerRack), born: 1, runs: make(map[wire.TaskID]*run)}
}

// free returns the accelerators that nothing uses.
func (m *machine) free() int {
	n := m.w.s.WorkerCapacity.Accelerators
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
	m.ended = slices.DeleteFunc(m.ended, func(e wire.EndedRun) bool { return e.Number <= o.AckedEnds })
	for _, s := range o.Starts {
		if m.runs[s.Task] == nil && !slices.ContainsFunc(m.ended, func(e wire.EndedRun) bool { return e.Task == s.Task && e.Run == s.Run }) {
			m.begin(s)
		}
	}
	for _, s := range o.Stops {
		if r := m.runs[s.Task]; r != nil && r.number == s.Run && !r.stops {
			r.stops = true
			m.w.after(m.w.s.StopDelay, func() { m.stop(r) })
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
	e := wire.EndedRun{Number: m.number, Task: r.id, Run: r.number, End: how}
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
			other.end(member, wire.EndGangBroken)
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
		Sequence: m.sequence, Node: m.node, RunningAt: m.w.now + time.Second,
		Worker: wire.WorkerInfo{
			Instance: m.node, Born: m.born, Service: "service", Zone: "zone", Rack: m.rack, Labels: []string{"a", m.rack},
			Capacity: m.w.s.WorkerCapacity, State: wire.WorkerReady,
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
	each := m.w.s.CheckpointInterval.Seconds() / r.request.work[r.id.Step][r.id.Index].Seconds()
	return max(r.saved, done-mod(done, each))
}

func mod(x, y float64) float64 { return x - y*float64(int(x/y)) }

func (m *machine) reportForever() {
	m.report()
	m.w.after(reportInterval, m.reportForever)
}

// inject harms a machine for a time.
func (m *machine) inject(kind FaultKind, d time.Duration) {
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

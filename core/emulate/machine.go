package emulate

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"bramleythread/io/wire"
)

// machine is a simulated worker with its agent.
type machine struct {
	sim           *simulation
	node          string
	rack          string
	slowness      float64 // factor of the run time
	born          int64   // identifies the lifetime of the worker, incremented by a restart
	sequence      uint64  // of the latest report
	runs          map[wire.TaskID]*run
	unackedEnds   []wire.EndedRun // ended runs that the scheduler has not acknowledged
	lastEndNumber int
	hanging       bool // runs make no progress
	slow          bool // runs are slower by slowFactor
	failing       bool // every run fails
	rejecting     bool // every run fails soon after its start
	down          bool
}

// run is one execution of a task on a machine. Its progress is computed from a
// rate that may change over time.
type run struct {
	id          wire.TaskID
	number      int
	request     *simRequest
	savedShare  float64 // share of the work in the checkpoint that the run started from
	doneShare   float64 // share of the work done at updatedAt
	updatedAt   time.Duration
	rate        float64 // share of the work done per second
	rateVersion int     // incremented at each rate change, to detect stale events
	startedAt   time.Duration
	slowness    float64       // of the slowest worker of its gang
	workedFor   time.Duration // with progress, up to updatedAt
	restoring   bool          // loads its checkpoint, makes no progress
	stopping    bool
}

func newMachine(sim *simulation, i int) *machine {
	slowness := 1.0
	if list := sim.scenario.Slowness; len(list) > 0 {
		slowness = list[i%len(list)]
	}
	return &machine{sim: sim, slowness: slowness, node: fmt.Sprintf("worker-%03d", i), rack: fmt.Sprintf("rack-%02d", i/sim.scenario.WorkersPerRack), born: 1, runs: make(map[wire.TaskID]*run)}
}

// free returns the number of unused accelerators.
func (m *machine) free() int {
	n := m.sim.scenario.WorkerCapacity.Accelerators
	for _, r := range m.runs {
		n -= r.request.job.Steps[r.id.Step].Demand.Accelerators
	}
	return max(n, 0)
}

// applyOrders starts and stops runs as the scheduler has ordered. Orders are
// repeated until they are obsolete, so known starts and stops are skipped.
func (m *machine) applyOrders(o wire.WorkerOrders) {
	if m.down || o.Born != m.born {
		return
	}
	m.unackedEnds = slices.DeleteFunc(m.unackedEnds, func(e wire.EndedRun) bool { return e.Number <= o.AckedEnds })
	for _, s := range o.Starts {
		if m.runs[s.Task] == nil && !slices.ContainsFunc(m.unackedEnds, func(e wire.EndedRun) bool { return e.Task == s.Task && e.Run == s.Run }) {
			m.startRun(s)
		}
	}
	for _, s := range o.Stops {
		r := m.runs[s.Task]
		if r == nil || r.number != s.Run {
			m.refuseRun(s)
			continue
		}
		if !r.stopping {
			r.stopping = true
			if m.sim.scenario.StopLosesProgress {
				m.setRate(r)
			}
			m.sim.after(m.sim.scenario.StopDelay, func() { m.stopRun(r) })
		}
	}
	m.report()
}

// refuseRun reports a run that is to be stopped and has not been started as ended. Its
// start cannot arrive any more, since orders arrive in order.
func (m *machine) refuseRun(r wire.TaskRun) {
	if !slices.ContainsFunc(m.unackedEnds, func(e wire.EndedRun) bool { return e.Task == r.Task && e.Run == r.Run }) {
		m.lastEndNumber++
		m.unackedEnds = append(m.unackedEnds, wire.EndedRun{Number: m.lastEndNumber, Task: r.Task, Run: r.Run, End: wire.EndStopped})
	}
}

func (m *machine) startRun(s wire.StartTask) {
	r := &run{id: s.Task, number: s.Run, request: m.sim.requests[s.Task.Job], updatedAt: m.sim.now, startedAt: m.sim.now, slowness: m.slowness}
	if share, err := strconv.ParseFloat(s.Checkpoint, 64); err == nil {
		r.savedShare, r.doneShare = share, share
	}
	m.runs[s.Task] = r
	if d := m.sim.scenario.RestoreTime; d > 0 && r.savedShare > 0 {
		r.restoring = true
		m.sim.after(d, func() {
			r.restoring = false
			if m.runs[r.id] == r {
				m.sim.forEachGangMember(r, func(m *machine, r *run) { m.setRate(r) })
			}
		})
	}
	if m.rejecting {
		m.sim.after(rejectDelay, func() {
			if m.runs[r.id] == r {
				m.endRun(r, wire.EndFailed)
			}
		})
	}
	m.sim.forEachGangMember(r, func(m *machine, r *run) { m.setRate(r) })
}

// forEachGangMember calls f for r and, if r belongs to a gang, for all members of
// the same run of the gang.
func (sim *simulation) forEachGangMember(r *run, f func(m *machine, r *run)) {
	for _, m := range sim.machines {
		for _, id := range sortedTasks(m.runs) {
			other := m.runs[id]
			if other == nil { // ended by a previous call of f
				continue
			}
			if other == r || r.step().Gang && other.id.Job == r.id.Job && other.id.Step == r.id.Step && other.number == r.number {
				f(m, other)
			}
		}
	}
}

func (r *run) step() *wire.JobStep { return &r.request.job.Steps[r.id.Step] }

// setRate updates the progress and the rate of a run and schedules its end at
// the new rate.
func (m *machine) setRate(r *run) {
	r.advance(m.sim.now)
	r.rate = m.rate(r)
	r.rateVersion++
	if r.rate == 0 {
		return
	}
	version := r.rateVersion
	left := time.Duration((1 - r.doneShare) / r.rate * float64(time.Second))
	m.sim.after(max(left, 0), func() {
		if r.rateVersion == version && m.runs[r.id] == r {
			m.finishRun(r)
		}
	})
}

// advance updates the progress of a run to now.
func (r *run) advance(now time.Duration) {
	r.doneShare += r.rate * (now - r.updatedAt).Seconds()
	if r.rate > 0 {
		r.workedFor += now - r.updatedAt
	}
	r.updatedAt = now
}

func (m *machine) rate(r *run) float64 {
	racks := make(map[string]bool)
	present, hang, slow := 0, false, false
	r.slowness = m.slowness
	m.sim.forEachGangMember(r, func(other *machine, member *run) {
		racks[other.rack] = true
		present++
		hang, slow = hang || other.hanging || member.restoring, slow || other.slow
		hang = hang || member.stopping && m.sim.scenario.StopLosesProgress
		r.slowness = max(r.slowness, other.slowness)
	})
	if hang || r.step().Gang && present < r.step().Count {
		return 0
	}
	rate := 1 / r.fullTime().Seconds()
	if r.step().SameRack && len(racks) > 1 {
		rate /= m.sim.scenario.RackFactor
	}
	if slow {
		rate /= slowFactor
	}
	return rate
}

// fullTime returns the run time of the whole task at the pace of the run's workers.
func (r *run) fullTime() time.Duration {
	return time.Duration(float64(r.request.work[r.id.Step][r.id.Index]) * r.slowness)
}

// finishRun ends a run whose work is complete, as done or, if a failure is due,
// as failed.
func (m *machine) finishRun(r *run) {
	failures, index := r.request.failuresLeft[r.id.Step], r.id.Index
	if r.step().Gang {
		index = 0 // a gang fails as a whole
	}
	if m.failing || failures[index] > 0 {
		if !m.failing {
			failures[index]--
		}
		m.endRun(r, wire.EndFailed)
		return
	}
	m.sim.forEachGangMember(r, func(m *machine, r *run) {
		r.doneShare = 1
		m.endRun(r, wire.EndDone)
	})
}

func (m *machine) stopRun(r *run) {
	if m.runs[r.id] == r {
		m.setRate(r)
		m.endRun(r, wire.EndStopped)
	}
}

// endRun removes a run from the machine and records its end. Unless the run is
// done, the other members of its gang end as well, with wire.EndGangBroken.
func (m *machine) endRun(r *run, end wire.RunEnd) {
	delete(m.runs, r.id)
	r.rateVersion++
	if m.sim.scenario.StopLosesProgress {
		r.advance(m.sim.now) // a member of a broken gang
	}
	m.lastEndNumber++
	e := wire.EndedRun{Number: m.lastEndNumber, Task: r.id, Run: r.number, End: end}
	d := r.step().Demand
	cores := float64(d.CPU)/1000 + 8*float64(d.Accelerators)
	work := (m.sim.now - r.startedAt).Seconds() * cores
	m.sim.totalWork += work
	if end != wire.EndDone {
		if r.step().Checkpoints && end != wire.EndFailed {
			e.Checkpoint = strconv.FormatFloat(m.shareKept(r), 'f', 4, 64)
		} else {
			m.sim.wastedWork += work
		}
	}
	if r.step().Checkpoints && end != wire.EndFailed {
		m.sim.wastedWork += m.unproductiveTime(r, end).Seconds() * cores
	}
	m.unackedEnds = append(m.unackedEnds, e)
	m.report()
	if end == wire.EndDone || !r.step().Gang {
		return
	}
	m.sim.forEachGangMember(r, func(other *machine, member *run) {
		if member != r {
			other.endRun(member, wire.EndGangBroken)
		}
	})
}

// shareKept returns the share of the work that the checkpoint of a run holds after
// a stop.
func (m *machine) shareKept(r *run) float64 {
	if m.sim.scenario.StopLosesProgress {
		return m.checkpointedShare(r, r.doneShare)
	}
	return r.doneShare
}

// unproductiveTime returns the time of a run with checkpoints that its task has to
// spend again: the restore and, if it was stopped, what the checkpoint lacks.
func (m *machine) unproductiveTime(r *run, end wire.RunEnd) time.Duration {
	switch {
	case end != wire.EndDone && m.sim.scenario.StopLosesProgress:
		kept := (m.shareKept(r) - r.savedShare) / max(r.doneShare-r.savedShare, 1e-9)
		return m.sim.now - r.startedAt - time.Duration(kept*float64(r.workedFor))
	case r.savedShare > 0:
		return min(m.sim.scenario.RestoreTime, m.sim.now-r.startedAt)
	default:
		return 0
	}
}

// report sends the running and ended runs to the scheduler.
func (m *machine) report() {
	if m.down {
		return
	}
	m.sequence++
	report := &wire.WorkerReport{
		Sequence: m.sequence, Node: m.node, RunningAt: m.sim.now + time.Second,
		Worker: wire.WorkerInfo{
			Instance: m.node, Born: m.born, Service: "service", Zone: "zone", Rack: m.rack, Labels: []string{"a", m.rack},
			Capacity: m.sim.scenario.WorkerCapacity, State: wire.WorkerReady,
		},
		Ended: slices.Clone(m.unackedEnds),
	}
	for _, id := range sortedTasks(m.runs) {
		running := m.runs[id]
		doneShare := running.doneShare + running.rate*(m.sim.now-running.updatedAt).Seconds()
		t := wire.RunningTask{Task: id, Run: running.number, Percent: int(100 * doneShare)}
		if running.step().Checkpoints {
			t.Checkpoint = strconv.FormatFloat(m.checkpointedShare(running, doneShare), 'f', 4, 64)
		}
		report.Running = append(report.Running, t)
	}
	m.sim.after(m.sim.scenario.LinkDelay, func() {
		m.sim.engine.Report(report, m.sim.clock())
		m.sim.requestRound()
	})
}

// checkpointedShare returns the share of the work that the latest checkpoint
// holds.
func (m *machine) checkpointedShare(r *run, doneShare float64) float64 {
	interval := m.sim.scenario.CheckpointInterval.Seconds() / r.fullTime().Seconds()
	return max(r.savedShare, doneShare-mod(doneShare, interval))
}

func mod(x, y float64) float64 { return x - y*float64(int(x/y)) }

func (m *machine) reportPeriodically() {
	m.report()
	m.sim.after(reportInterval, m.reportPeriodically)
}

// injectFault applies a fault to a machine and removes it after d.
func (m *machine) injectFault(kind FaultKind, d time.Duration) {
	switch kind {
	case FaultHang:
		m.hanging = true
	case FaultSlow:
		m.slow = true
	case FaultFail:
		m.failing = true
	case FaultCrash:
		m.crash()
	case FaultReject:
		m.rejecting = true
	}
	m.setRates()
	m.sim.after(d, func() {
		m.hanging, m.slow, m.failing, m.rejecting = false, false, false, false
		if m.down {
			m.down = false
			m.born++
			m.sequence, m.lastEndNumber, m.unackedEnds = 0, 0, nil
		}
		m.setRates()
	})
}

func (m *machine) setRates() {
	for _, id := range sortedTasks(m.runs) {
		if r := m.runs[id]; r != nil {
			m.sim.forEachGangMember(r, func(m *machine, r *run) { m.setRate(r) })
		}
	}
}

// crash ends all runs. The scheduler receives no report until the machine has
// restarted.
func (m *machine) crash() {
	m.down = true
	for _, id := range sortedTasks(m.runs) {
		if r := m.runs[id]; r != nil {
			m.endRun(r, wire.EndCrashed)
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

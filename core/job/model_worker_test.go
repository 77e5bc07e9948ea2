package job

import (
	"slices"
	"time"

	"bramleythread/io/wire"
)

// modelWorker is a worker process. A new lifetime knows nothing of the one before.
type modelWorker struct {
	born       int64
	down       bool
	token      uint64
	leaseUntil time.Time
	lapses     int // how often the lease has lapsed
	running    map[wire.TaskRun]bool
	stopping   map[wire.TaskRun]bool // of running, those that save their state before they end
	newest     map[wire.TaskID]int   // run that was last started or stopped
	ended      []modelEnd
	ends       int
}

type modelEnd struct {
	wire.EndedRun
	lapses int // of the lease before the end
}

func newModelWorker(born int64) *modelWorker {
	return &modelWorker{
		born: born, running: make(map[wire.TaskRun]bool), stopping: make(map[wire.TaskRun]bool), newest: make(map[wire.TaskID]int),
	}
}

// modelCall is a call of an agent to its worker. It reaches the process that listens
// when it is dialed, which may carry it out at any time after that, in any order with
// other calls, or never. The agent may have given up by then.
type modelCall struct {
	token      uint64
	leaseUntil time.Time
	worker     *modelWorker // nil until it is dialed
	answered   bool         // the process has carried it out or refused it, or is down
	refused    bool
	down       bool
	orphan     bool // the agent that has made it has restarted

	run  wire.TaskRun // to start or stop
	stop bool

	poll     bool
	lifetime uint64 // the agent's number of the lifetime that is polled
	sent     int    // time of the agent at which it was sent
	acked    int
	born     int64 // as answered
	listed   []wire.TaskRun
	ended    []wire.EndedRun
	moreEnds bool
}

// dial connects a call to the process that listens now.
func (m *model) dial(a *modelAgent, c *modelCall) {
	if c.worker != nil {
		return
	}
	c.worker = a.worker
	if a.worker.down {
		c.answered, c.down = true, true
	}
}

// execute makes the worker carry out a call.
func (m *model) execute(a *modelAgent, c *modelCall) {
	m.dial(a, c)
	w := c.worker
	if c.answered || w.down { // a call ends with its process
		return
	}
	c.answered = true
	if c.token < w.token {
		c.refused = true
		return
	}
	w.token = c.token
	if c.poll {
		m.executePoll(w, c)
		return
	}
	if c.stop {
		w.newest[c.run.Task] = max(w.newest[c.run.Task], c.run.Run)
		if w.running[c.run] {
			w.stopping[c.run] = true
		}
		return
	}
	if !c.leaseUntil.After(m.f.now) || c.run.Run <= w.newest[c.run.Task] && !w.running[c.run] {
		c.refused = true
		return
	}
	w.extendLease(c.leaseUntil)
	m.start(w, c.run)
}

func (m *model) executePoll(w *modelWorker, c *modelCall) {
	w.extendLease(c.leaseUntil)
	w.ended = slices.DeleteFunc(w.ended, func(e modelEnd) bool {
		if e.Number <= c.acked && e.End == wire.EndDone && e.lapses == w.lapses {
			m.done[e.Task] = true
		}
		if e.Number <= c.acked && e.End == wire.EndFailed && e.lapses == w.lapses {
			m.failuresOf(e.Task).acknowledged[e.Run] = true
		}
		return e.Number <= c.acked
	})
	c.born, c.listed = w.born, sortedRuns(w.running)
	for _, e := range w.ended {
		if n := m.f.maxListedEnds; n > 0 && len(c.ended) == n {
			c.moreEnds = true
			break
		}
		c.ended = append(c.ended, e.EndedRun)
	}
}

func (w *modelWorker) extendLease(until time.Time) {
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// lapse ends the runs of a worker whose lease has ended.
func (m *model) lapse(w *modelWorker) {
	if w.leaseUntil.IsZero() || w.leaseUntil.After(m.f.now) {
		return
	}
	for _, r := range sortedRuns(w.running) {
		m.end(w, r, wire.EndLeaseExpired)
	}
	w.leaseUntil = time.Time{}
	w.lapses++
}

// start starts a run, and checks what callers and workers see.
func (m *model) start(w *modelWorker, r wire.TaskRun) {
	if w.running[r] {
		return
	}
	for _, other := range m.agents {
		for o := range other.worker.running {
			if o.Task == r.Task {
				m.rt.Fatalf("run %d of %v starts while run %d is at work on %s", r.Run, r.Task, o.Run, other.name)
			}
		}
	}
	if m.done[r.Task] {
		m.rt.Fatalf("run %d of %v starts after an end as done was acknowledged", r.Run, r.Task)
	}
	if n, attempts := len(m.failuresOf(r.Task).acknowledged), m.submitted[r.Task.Job].Attempts; n >= attempts {
		m.rt.Fatalf("run %d of %v starts after %d of %d failures were acknowledged", r.Run, r.Task, n, attempts)
	}
	w.running[r], w.newest[r.Task] = true, r.Run
	used := 0
	for o := range w.running {
		used += m.f.e.demandOf(o.Task).Accelerators
	}
	if used > 8 {
		m.rt.Fatalf("%d accelerators are in use on one worker", used)
	}
}

func (m *model) end(w *modelWorker, r wire.TaskRun, how wire.RunEnd) {
	delete(w.running, r)
	delete(w.stopping, r)
	w.ends++
	if how == wire.EndFailed {
		m.failuresOf(r.Task).ended[r.Run] = true
	}
	w.ended = append(w.ended, modelEnd{EndedRun: wire.EndedRun{Number: w.ends, Task: r.Task, Run: r.Run, End: how}, lapses: w.lapses})
}

// crash ends a worker process and its runs. A poll that waits at the worker fails, so
// that the agent acknowledges nothing until an answer has shown the lifetime.
func (m *model) crash(a *modelAgent) {
	a.worker.down = true
	clear(a.worker.running)
	a.holdFailed = true
	for _, c := range slices.Clone(a.calls) {
		if c.worker == a.worker && !c.answered {
			m.giveUp(a, c)
			a.calls = slices.DeleteFunc(a.calls, func(x *modelCall) bool { return x == c })
		}
	}
}

// startAgain starts a new lifetime of a worker under the same id.
func (m *model) startAgain(a *modelAgent) {
	if !a.worker.down {
		m.crash(a)
	}
	a.worker = newModelWorker(a.worker.born + 1)
}

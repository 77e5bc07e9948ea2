package job

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"bramleythread/io/wire"

	"pgregory.net/rapid"
)

// modelWorker is a worker process. A new lifetime knows nothing of the one before.
type modelWorker struct {
	born    int64
	token   uint64
	running map[wire.TaskRun]bool
	newest  map[wire.TaskID]int // run that was last started or stopped
	ended   []wire.EndedRun
	ends    int
}

func newModelWorker(born int64) *modelWorker {
	return &modelWorker{born: born, running: make(map[wire.TaskRun]bool), newest: make(map[wire.TaskID]int)}
}

// modelAgent follows the rules of an agent (package worker), one step at a time.
type modelAgent struct {
	name     string
	worker   *modelWorker
	info     wire.WorkerInfo
	token    uint64 // of the orders that apply
	lifetime uint64 // number of lifetimes that the agent has known
	orders   wire.WorkerOrders
	polled   bool
	sequence uint64
	running  map[wire.TaskRun]bool
	ended    []wire.EndedRun
	pending  map[wire.TaskRun]bool // orders in progress; true means to stop the run
	refused  map[wire.TaskRun]bool

	toAgent     []wire.WorkerOrders // on their way, in order
	toScheduler []*wire.WorkerReport
}

// model is a scheduler with its agents and workers. Messages arrive in order on each
// connection, at any time, or are lost with the connection.
type model struct {
	rt     *rapid.T
	f      *testCluster
	agents []*modelAgent
	conns  uint64
	done   map[wire.TaskID]bool // ended as done, and acknowledged to the worker
	jobs   int
}

func newModel(rt *rapid.T, t *testing.T) *model {
	m := &model{rt: rt, f: newTestCluster(t), done: make(map[wire.TaskID]bool)}
	for i := range rapid.IntRange(1, 3).Draw(rt, "workers") {
		a := &modelAgent{name: node(i), worker: newModelWorker(1), info: info(node(i))}
		a.reset(a.info)
		m.agents = append(m.agents, a)
		m.connect(a)
	}
	return m
}

// reset makes a lifetime of the worker present at its agent.
func (a *modelAgent) reset(w wire.WorkerInfo) {
	a.lifetime++
	a.info, a.polled, a.ended = w, false, nil
	a.running, a.pending, a.refused = make(map[wire.TaskRun]bool), make(map[wire.TaskRun]bool), make(map[wire.TaskRun]bool)
}

// connect opens a new connection of an agent, whose first orders hold its token only.
func (m *model) connect(a *modelAgent) {
	m.conns++
	a.toScheduler, a.toAgent = nil, []wire.WorkerOrders{{Token: m.conns << 8}}
	m.f.e.ResetSequence(a.name)
}

func (a *modelAgent) workerToken() uint64 { return a.token + a.lifetime }

// receive applies the next orders on their way to the agent.
func (m *model) receive(a *modelAgent) {
	if len(a.toAgent) == 0 {
		return
	}
	o := a.toAgent[0]
	a.toAgent = a.toAgent[1:]
	if o.Token != a.token {
		a.polled, a.refused = false, make(map[wire.TaskRun]bool)
	}
	a.token, a.orders = o.Token, o
	m.apply(a)
}

// apply begins what the present orders ask for.
func (m *model) apply(a *modelAgent) {
	o := &a.orders
	if !a.polled || o.Instance != a.info.Instance || o.Born != a.info.Born {
		return
	}
	listed := make(map[wire.TaskRun]bool)
	hasEnded := func(r wire.TaskRun) bool {
		return slices.ContainsFunc(a.ended, func(e wire.EndedRun) bool { return e.Task == r.Task && e.Run == r.Run })
	}
	for _, s := range o.Starts {
		r := wire.TaskRun{Task: s.Task, Run: s.Run}
		listed[r] = true
		if _, begun := a.pending[r]; !begun && !a.running[r] && !a.refused[r] && !hasEnded(r) {
			a.pending[r] = a.info.State != wire.WorkerReady
		}
	}
	for _, r := range o.Stops {
		listed[r] = true
		if !hasEnded(r) && !a.refused[r] {
			a.pending[r] = true
		}
	}
	maps.DeleteFunc(a.refused, func(r wire.TaskRun, _ bool) bool { return !listed[r] })
}

// act carries out one order in progress at the worker.
func (m *model) act(a *modelAgent) {
	keys := slices.SortedFunc(maps.Keys(a.pending), func(x, y wire.TaskRun) int { return compareTasks(x.Task, y.Task) })
	if len(keys) == 0 {
		return
	}
	r := rapid.SampledFrom(keys).Draw(m.rt, "order")
	w := a.worker
	if a.workerToken() < w.token {
		return
	}
	w.token = a.workerToken()
	if a.pending[r] {
		w.newest[r.Task] = max(w.newest[r.Task], r.Run)
		if w.running[r] {
			m.end(w, r, wire.EndStopped)
		}
		m.poll(a)
		if delete(a.pending, r); !a.running[r] && !slices.ContainsFunc(a.ended, func(e wire.EndedRun) bool { return e.Task == r.Task && e.Run == r.Run }) {
			a.refused[r] = true
		}
		return
	}
	if r.Run <= w.newest[r.Task] && !w.running[r] {
		a.pending[r] = true // refused: it is stopped for certain
		return
	}
	m.start(w, r)
	delete(a.pending, r)
	a.running[r] = true
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
	w.ends++
	w.ended = append(w.ended, wire.EndedRun{Number: w.ends, Task: r.Task, Run: r.Run, End: how})
}

// poll reads the worker's lists and acknowledges ends of the present lifetime.
func (m *model) poll(a *modelAgent) {
	w := a.worker
	if a.workerToken() < w.token || a.token == 0 {
		return
	}
	w.token = a.workerToken()
	if w.born != a.info.Born { // it has started again under its id
		unannounced := a.info
		unannounced.Born, unannounced.State = w.born, wire.WorkerUnannounced
		a.reset(unannounced)
		return
	}
	if a.orders.Instance == a.info.Instance && a.orders.Born == a.info.Born {
		w.ended = slices.DeleteFunc(w.ended, func(e wire.EndedRun) bool {
			if e.Number <= a.orders.AckedEnds && e.End == wire.EndDone {
				m.done[e.Task] = true
			}
			return e.Number <= a.orders.AckedEnds
		})
	}
	a.running, a.ended, a.polled = maps.Clone(w.running), slices.Clone(w.ended), true
	m.apply(a)
}

// report sends a report on its way.
func (m *model) report(a *modelAgent) {
	if !a.polled {
		return
	}
	a.sequence++
	r := &wire.WorkerReport{Sequence: a.sequence, Node: a.name, RunningAt: m.f.now.Sub(testStart) + time.Second, Worker: a.info, Ended: slices.Clone(a.ended)}
	for t := range a.running {
		r.Running = append(r.Running, wire.RunningTask{Task: t.Task, Run: t.Run})
	}
	for t := range a.pending {
		r.Pending = append(r.Pending, t)
	}
	for t := range a.refused {
		r.Refused = append(r.Refused, wire.RefusedRun{Task: t.Task, Run: t.Run, Reason: "stopped"})
	}
	a.toScheduler = append(a.toScheduler, r)
}

// deliver hands the next report to the scheduler, which answers with its orders.
func (m *model) deliver(a *modelAgent) {
	if len(a.toScheduler) == 0 {
		return
	}
	m.f.e.Report(a.toScheduler[0], m.f.now)
	a.toScheduler = a.toScheduler[1:]
	m.order(a)
}

// talk takes all reports of an agent to the scheduler, whose orders stay on their way.
func (m *model) talk(a *modelAgent) {
	if !a.polled {
		m.receive(a)
	}
	m.poll(a)
	m.report(a)
	for len(a.toScheduler) > 0 {
		m.deliver(a)
	}
}

// order sends the present orders of an agent on their way.
func (m *model) order(a *modelAgent) {
	if o, ok := m.f.e.Orders(a.name); ok && len(a.toAgent) > 0 || ok && a.polled {
		o.Token = m.tokenOf(a)
		a.toAgent = append(a.toAgent, o)
	}
}

// tokenOf returns the token of the agent's open connection.
func (m *model) tokenOf(a *modelAgent) uint64 {
	if n := len(a.toAgent); n > 0 {
		return a.toAgent[n-1].Token
	}
	return a.token
}

// round runs a scheduling tick, commits it and sends orders.
func (m *model) round() {
	m.f.tick()
	for _, node := range m.f.e.TakeChangedNodes() {
		for _, a := range m.agents {
			if a.name == node {
				m.order(a)
			}
		}
	}
}

// takeOver replaces the scheduler by one that knows what is committed.
func (m *model) takeOver() {
	m.f.restart()
	for _, a := range m.agents {
		m.connect(a)
	}
}

// setDefaults sets flags that the command line does not name, for one test.
func setDefaults(t *testing.T, values map[string]string) {
	t.Helper()
	flag.Visit(func(f *flag.Flag) { delete(values, f.Name) })
	for name, value := range values {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, before) })
	}
}

// TestDecisionsUnderDelayedMessages plays the scheduler against agents and workers under
// any order of orders and reports, holders that die, connections that break, workers that
// start again under their ids, and cancellations. It guards against two runs of a task at
// the same time, a run after an acknowledged end, and more work than a worker holds.
func TestDecisionsUnderDelayedMessages(t *testing.T) {
	setDefaults(t, map[string]string{"rapid.seed": "1", "rapid.checks": "10000", "rapid.steps": "200"})
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, t)
		onAgent := func(f func(a *modelAgent)) func(rt *rapid.T) {
			return func(rt *rapid.T) {
				m.rt = rt
				f(rapid.SampledFrom(m.agents).Draw(rt, "agent"))
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				m.jobs++
				m.f.e.Submit(m.f.job(fmt.Sprintf("j%d", m.jobs), rapid.SampledFrom([]int{0, 2}).Draw(rt, "priority"),
					step(1, rapid.SampledFrom([]int{4, 8, 8}).Draw(rt, "accelerators"))), m.f.now)
			},
			"cancel": func(rt *rapid.T) {
				m.f.e.Cancel(fmt.Sprintf("j%d", rapid.IntRange(1, max(m.jobs, 1)).Draw(rt, "job")), m.f.now)
			},
			"round":          func(*rapid.T) { m.round() },
			"take over":      func(*rapid.T) { m.takeOver() },
			"reconnect":      onAgent(m.connect),
			"receive orders": onAgent(m.receive),
			"act":            onAgent(m.act),
			"poll":           onAgent(m.poll),
			"report":         onAgent(m.report),
			"deliver report": onAgent(m.deliver),
			"talk":           onAgent(m.talk),
			"talk again":     onAgent(m.talk),
			"round again":    func(*rapid.T) { m.round() },
			"in touch": onAgent(func(a *modelAgent) { // all that is on its way arrives
				for len(a.toAgent) > 0 {
					m.receive(a)
				}
				m.talk(a)
				for len(a.pending) > 0 && len(a.toAgent) > 0 {
					m.receive(a)
				}
			}),
			"end run": onAgent(func(a *modelAgent) {
				keys := slices.SortedFunc(maps.Keys(a.worker.running), func(x, y wire.TaskRun) int { return compareTasks(x.Task, y.Task) })
				if len(keys) > 0 {
					m.end(a.worker, rapid.SampledFrom(keys).Draw(m.rt, "run"), rapid.SampledFrom([]wire.RunEnd{wire.EndDone, wire.EndFailed}).Draw(m.rt, "how"))
				}
			}),
			"worker starts again": onAgent(func(a *modelAgent) { a.worker = newModelWorker(a.worker.born + 1) }),
			"announce": onAgent(func(a *modelAgent) {
				if a.worker.born != a.info.Born {
					announced := info(a.name)
					announced.Born = a.worker.born
					a.reset(announced)
				}
				a.info.State = wire.WorkerReady
			}),
			"wait": func(rt *rapid.T) {
				m.f.now = m.f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
			},
		})
	})
}

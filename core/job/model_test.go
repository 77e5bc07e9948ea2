package job

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"bramleythread/io/wire"

	"pgregory.net/rapid"
)

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

// onAgent returns an action on one of the agents.
func (m *model) onAgent(f func(a *modelAgent)) func(*rapid.T) {
	return func(rt *rapid.T) {
		m.rt = rt
		f(m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(rt, "agent")])
	}
}

// onCall returns an action on one of the calls of an agent.
func (m *model) onCall(f func(a *modelAgent, c *modelCall)) func(*rapid.T) {
	return m.onAgent(func(a *modelAgent) {
		if len(a.calls) > 0 {
			f(a, a.calls[rapid.IntRange(0, len(a.calls)-1).Draw(m.rt, "call")])
		}
	})
}

// onConn returns an action on one of the connections that the schedulers know.
func (m *model) onConn(f func(c *modelConn)) func(*rapid.T) {
	return m.onAgent(func(a *modelAgent) {
		h := m.holder
		if m.former != nil && rapid.Bool().Draw(m.rt, "former") {
			h = m.former
		}
		f(h.conns[a.name])
	})
}

// action returns an action that draws from rt.
func (m *model) action(f func()) func(*rapid.T) {
	return func(rt *rapid.T) {
		m.rt = rt
		f()
	}
}

// rarely returns an action that mostly does nothing, so that histories get further.
func (m *model) rarely(f func()) func(*rapid.T) {
	return m.action(func() {
		if rapid.IntRange(0, 3).Draw(m.rt, "rarely") == 0 {
			f()
		}
	})
}

// actions returns those of one history: the common ones, and some kinds of faults.
// Histories with few kinds of faults reach deeper states of these. Evacuations of a zone
// are to be a kind of their own, once the engine has them.
func (m *model) actions() map[string]func(*rapid.T) {
	actions := m.commonActions()
	kinds := map[string]map[string]func(*rapid.T){
		"agent":     m.agentFaults(),
		"calls":     m.callFaults(),
		"scheduler": m.schedulerFaults(),
		"time":      m.timeFaults(),
		"worker":    m.workerFaults(),
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		if rapid.Bool().Draw(m.rt, kind) {
			maps.Copy(actions, kinds[kind])
		}
	}
	return actions
}

// commonActions are those of callers, and messages that arrive. Jobs are stopped by
// preemption and cancellation.
func (m *model) commonActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":             m.action(m.submit),
		"cancel":             m.rarely(m.cancel),
		"read cancellations": m.action(func() { m.readCancellations(m.holder) }),
		"round":              m.action(m.round),
		"round again":        m.action(m.round),
		"take over":          m.rarely(m.takeOver),
		"send orders":        m.onConn(m.sendOrders),
		"deliver report":     m.onConn(m.deliver),
		"reconnect":          m.onAgent(m.reconnect),
		"receive orders":     m.onAgent(m.receive),
		"act":                m.onAgent(m.act),
		"poll now":           m.onAgent(m.pollNow),
		"report":             m.onAgent(m.report),
		"talk":               m.onAgent(m.talk),
		"talk again":         m.onAgent(m.talk),
		"in touch":           m.onAgent(m.inTouch),
		"settle":             m.rarely(m.settle),
		"end run": m.onAgent(func(a *modelAgent) {
			r, ok := drawRun(m, a.worker.running)
			switch {
			case ok && a.worker.stopping[r]:
				m.end(a.worker, r, wire.EndStopped)
			case ok:
				m.end(a.worker, r, rapid.SampledFrom([]wire.RunEnd{wire.EndDone, wire.EndFailed}).Draw(m.rt, "how"))
			}
		}),
		"wait": m.action(func() {
			m.wait(time.Duration(rapid.IntRange(1, 300).Draw(m.rt, "ms")) * time.Millisecond)
		}),
	}
}

// schedulerFaults are schedulers that fail between decision, write and order, or go on
// after they have been replaced.
func (m *model) schedulerFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"decide": m.action(func() { m.decide(m.holder) }),
		"write":  m.action(m.write),
		"commit": m.action(func() { m.commit(m.holder) }),
		"former round": m.action(func() {
			if m.former != nil {
				m.decide(m.former)
				m.commit(m.former)
			}
		}),
		"former ends": m.action(m.endFormer),
		"former reads cancellations": m.action(func() {
			if m.former != nil {
				m.readCancellations(m.former)
			}
		}),
	}
}

// agentFaults are connections that break and agents that restart.
func (m *model) agentFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"disconnect":     m.onAgent(m.disconnect),
		"agent restarts": m.onAgent((*modelAgent).restart),
		"announce":       m.onAgent(func(a *modelAgent) { m.announce(a, wire.WorkerReady) }),
	}
}

// callFaults are calls to workers that are carried out late, in another order, or after
// the agent has given up.
func (m *model) callFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": m.onAgent(func(a *modelAgent) {
			if r, ok := drawRun(m, a.pending); ok {
				m.call(a, r)
			}
		}),
		"poll":    m.onAgent(func(a *modelAgent) { m.poll(a) }),
		"dial":    m.onCall(m.dial),
		"execute": m.onCall(m.execute),
		"give up": m.onCall(m.giveUp),
		"answer":  m.onCall(m.answer),
	}
}

// workerFaults are workers that drain, fail, and start again under their ids.
func (m *model) workerFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"crash":               m.onAgent(func(a *modelAgent) { m.rarely(func() { m.crash(a) })(m.rt) }),
		"notice down":         m.onAgent(m.noticeDown),
		"worker starts again": m.onAgent(m.startAgain),
		"announce":            m.onAgent(func(a *modelAgent) { m.announce(a, wire.WorkerReady) }),
		"drain":               m.onAgent(func(a *modelAgent) { m.announce(a, wire.WorkerDraining) }),
	}
}

// timeFaults are processes that are suspended or cut off until leases lapse and ended
// jobs expire.
func (m *model) timeFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait long": m.rarely(func() {
			m.wait(time.Duration(rapid.SampledFrom([]int{1, 2, 4, 11, 130}).Draw(m.rt, "s")) * time.Second)
		}),
	}
}

// TestDecisionsUnderDelayedMessages plays the scheduler against agents and workers under
// any order of orders, reports and calls: schedulers that fail between decision, write,
// order and report, or go on after they are replaced; agents that reconnect and restart;
// workers that carry out calls late, drain, fail and start again under their ids; and
// cancellations. It guards against two runs of a task at the same time, a run after an
// acknowledged end, more work than a worker holds, attempts that are counted more or less
// often than runs have failed, and starts of cancelled jobs and on draining workers.
func TestDecisionsUnderDelayedMessages(t *testing.T) {
	setDefaults(t, map[string]string{"rapid.seed": "1", "rapid.checks": "20000", "rapid.steps": "200"})
	rapid.Check(t, func(rt *rapid.T) {
		rt.Repeat(newModel(rt, newTestCluster(t)).actions())
	})
}

// TestDecisionsWithEndsInParts plays the same with workers that list one end at a time.
func TestDecisionsWithEndsInParts(t *testing.T) {
	setDefaults(t, map[string]string{"rapid.seed": "3", "rapid.checks": "20000", "rapid.steps": "200"})
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestCluster(t)
		f.maxListedEnds = 1
		rt.Repeat(newModel(rt, f).actions())
	})
}

// TestDecisionsWithStartsInParts plays the same with orders that hold one start each.
func TestDecisionsWithStartsInParts(t *testing.T) {
	setDefaults(t, map[string]string{"rapid.seed": "2", "rapid.checks": "5000", "rapid.steps": "200"})
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestCluster(t)
		f.maxStartsSize = 1
		f.e = New(f.config(), f.now)
		rt.Repeat(newModel(rt, f).actions())
	})
}

package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bramleythread/io/wire"

	"pgregory.net/rapid"
)

// Times of the model, which are those of the processes.
const (
	modelConfirmAge  = 3 * time.Second // for which a replaced scheduler grants renewals
	modelGrant       = 4 * time.Second // from a report on, to its agent
	modelWorkerLease = 4 * time.Second
)

// modelAgent follows the rules of an agent (package worker), one step at a time.
type modelAgent struct {
	name   string
	worker *modelWorker
	calls  []*modelCall // to the worker, not answered or with an answer on its way
	conn   *modelConn   // nil while there is none

	info       wire.WorkerInfo
	token      uint64 // of the orders that apply
	lifetime   uint64 // number of lifetimes that the agent has known
	orders     wire.WorkerOrders
	permission modelPermission // of the starts in orders
	ordered    bool
	polled     bool
	holdFailed bool
	polledAt   int // time of the agent at which the newest applied poll was sent
	clock      int // time of the agent, which grows with each step
	sequence   uint64
	running    map[wire.TaskRun]bool
	unlisted   map[wire.TaskRun]int // when runs were started that no poll has listed
	ended      []wire.EndedRun
	moreEnds   bool // the newest applied poll may lack ends
	pending    map[wire.TaskRun]*modelPending
	refused    map[wire.TaskRun]bool
}

// modelPermission is the time within which starts may begin. The zero value is not limited.
type modelPermission struct{ length, until time.Duration }

// modelPending is an order in progress.
type modelPending struct {
	permission  modelPermission
	stop        bool
	call        *modelCall // that the agent waits for
	stopAckedAt int        // 0 if the worker has not acknowledged the stop
}

// reset makes a lifetime of the worker present at its agent.
func (a *modelAgent) reset(w wire.WorkerInfo) {
	a.lifetime++
	a.info, a.polled, a.ended, a.moreEnds = w, false, nil, false
	a.running, a.unlisted = make(map[wire.TaskRun]bool), make(map[wire.TaskRun]int)
	a.pending, a.refused = make(map[wire.TaskRun]*modelPending), make(map[wire.TaskRun]bool)
}

// restart replaces the agent's process. Calls that have not been dialed end with it,
// and others have nobody who waits for them.
func (a *modelAgent) restart() {
	calls := slices.DeleteFunc(a.calls, func(c *modelCall) bool { return c.worker == nil })
	for _, c := range calls {
		c.orphan = true
	}
	*a = modelAgent{name: a.name, worker: a.worker, calls: calls}
	a.reset(wire.WorkerInfo{})
}

func (a *modelAgent) workerToken() uint64 { return a.token + a.lifetime }

// leaseUntil returns the end of the lease to ask for, or zero without a permission.
func (m *model) leaseUntil(a *modelAgent) time.Time {
	if a.orders.LastReportSent == 0 || m.bootTime() > a.orders.LastReportSent+modelGrant {
		return time.Time{}
	}
	return m.f.now.Add(modelWorkerLease)
}

// receive applies the next orders on their way to the agent.
func (m *model) receive(a *modelAgent) {
	if a.conn == nil || len(a.conn.toAgent) == 0 {
		return
	}
	o := a.conn.toAgent[0]
	a.conn.toAgent = a.conn.toAgent[1:]
	if o.Token < a.token {
		return // of a scheduler that has been replaced
	}
	a.permission = modelPermission{length: o.StartPermission, until: o.LastReportSent + o.StartPermission}
	o.LastReportSent = max(o.LastReportSent, a.orders.LastReportSent)
	a.token, a.orders, a.ordered = o.Token, o, true
	m.apply(a)
}

// apply begins what the present orders ask for.
func (m *model) apply(a *modelAgent) {
	o := &a.orders
	if !a.polled || o.Instance != a.info.Instance || o.Born != a.info.Born {
		return
	}
	listed := make(map[wire.TaskRun]bool)
	for _, s := range o.Starts {
		r := wire.TaskRun{Task: s.Task, Run: s.Run}
		listed[r] = true
		if p := a.pending[r]; p != nil {
			p.permission = a.permission
		} else if !a.running[r] && !a.refused[r] && !a.hasEnded(r) {
			a.pending[r] = &modelPending{permission: a.permission, stop: a.info.State != wire.WorkerReady}
		}
	}
	for _, r := range o.OtherStarts {
		listed[r] = true
		if p := a.pending[r]; p != nil {
			p.permission = a.permission
		}
	}
	for _, r := range o.Stops {
		listed[r] = true
		switch p := a.pending[r]; {
		case p != nil:
			p.stop = true
		case !a.hasEnded(r) && !a.refused[r]:
			a.pending[r] = &modelPending{stop: true}
		}
	}
	for r, p := range a.pending {
		if !listed[r] && !a.running[r] {
			p.stop = true
		}
	}
	maps.DeleteFunc(a.refused, func(r wire.TaskRun, _ bool) bool { return !listed[r] })
}

func (a *modelAgent) hasEnded(r wire.TaskRun) bool {
	return slices.ContainsFunc(a.ended, func(e wire.EndedRun) bool { return e.Task == r.Task && e.Run == r.Run })
}

// call makes the call of an order in progress. It may be dialed later.
func (m *model) call(a *modelAgent, r wire.TaskRun) *modelCall {
	p := a.pending[r]
	if p == nil || p.call != nil || p.stopAckedAt > 0 || a.info.State == wire.WorkerGone {
		return nil
	}
	c := &modelCall{token: a.workerToken(), run: r, stop: p.stop, leaseUntil: m.leaseUntil(a)}
	if !c.stop && (c.leaseUntil.IsZero() || p.permission.length > 0 && m.bootTime() > p.permission.until) {
		p.stop = true
		return nil
	}
	m.checkStartCall(a, c, p.permission)
	p.call = c
	a.calls = append(a.calls, c)
	return c
}

// checkStartCall checks that a start call, which may take half of its permission more, ends
// within the limit of the job's cancellation, and is for a worker that does not drain.
func (m *model) checkStartCall(a *modelAgent, c *modelCall, p modelPermission) {
	if c.stop {
		return
	}
	if at, ok := m.cancelled[c.run.Task.Job]; ok && m.cancelLimit > 0 && m.bootTime()+p.length/2 > at+m.cancelLimit {
		m.rt.Fatalf("run %d of %v is called %v after the cancellation", c.run.Run, c.run.Task, m.bootTime()-at)
	}
	if a.info.State != wire.WorkerReady {
		m.rt.Fatalf("run %d of %v is called on a worker that is %s", c.run.Run, c.run.Task, a.info.State)
	}
}

// poll makes a call that reads the worker's lists.
func (m *model) poll(a *modelAgent) *modelCall {
	if a.token == 0 || a.info.Instance == "" || a.info.State == wire.WorkerGone {
		return nil
	}
	a.clock++
	c := &modelCall{poll: true, token: a.workerToken(), lifetime: a.lifetime, sent: a.clock, leaseUntil: m.leaseUntil(a)}
	if !a.holdFailed && a.orders.Instance == a.info.Instance && a.orders.Born == a.info.Born {
		c.acked = a.orders.AckedEnds
	}
	a.calls = append(a.calls, c)
	m.dial(a, c)
	return c
}

// pollNow makes a poll whose answer arrives at once.
func (m *model) pollNow(a *modelAgent) {
	if c := m.poll(a); c != nil {
		m.execute(a, c)
		m.answer(a, c)
	}
}

// act carries out one order in progress, with an answer that arrives at once.
func (m *model) act(a *modelAgent) {
	r, ok := drawRun(m, a.pending)
	if !ok {
		return
	}
	if c := m.call(a, r); c != nil {
		m.execute(a, c)
		m.answer(a, c)
	}
}

// inTouch lets all that is on its way between an agent, its worker and its scheduler
// arrive.
func (m *model) inTouch(a *modelAgent) {
	if a.conn == nil {
		m.connect(a, m.holder)
	}
	m.talk(a)
	for len(a.conn.toAgent) > 0 {
		m.receive(a)
	}
	for _, c := range slices.Clone(a.calls) {
		m.execute(a, c)
		m.answer(a, c)
	}
	for _, r := range sortedRuns(a.pending) {
		if c := m.call(a, r); c != nil {
			m.execute(a, c)
			m.answer(a, c)
		}
	}
	m.talk(a)
}

// answer takes the answer of a call to the agent.
func (m *model) answer(a *modelAgent, c *modelCall) {
	if !c.answered {
		return
	}
	a.calls = slices.DeleteFunc(a.calls, func(x *modelCall) bool { return x == c })
	if c.orphan {
		return
	}
	a.clock++
	if c.poll {
		a.holdFailed = c.refused || c.down
		if !a.holdFailed {
			m.answerPoll(a, c)
		}
		return
	}
	p := a.pending[c.run]
	if p == nil || p.call != c {
		return // the agent has given up, or another process has sent it
	}
	p.call = nil
	switch {
	case c.down:
	case c.stop && !c.refused:
		p.stopAckedAt = a.clock
	case c.refused && !c.stop:
		p.stop = true
	case !c.refused && !p.stop:
		delete(a.pending, c.run)
		a.running[c.run], a.unlisted[c.run] = true, a.clock
	}
}

// giveUp makes the agent wait no longer for a call, which may take effect later if it
// has been dialed.
func (m *model) giveUp(a *modelAgent, c *modelCall) {
	if p := a.pending[c.run]; !c.poll && p != nil && p.call == c {
		p.call = nil
	}
	if c.worker == nil {
		a.calls = slices.DeleteFunc(a.calls, func(x *modelCall) bool { return x == c })
	}
}

func (m *model) answerPoll(a *modelAgent, c *modelCall) {
	if c.lifetime != a.lifetime || c.sent <= a.polledAt {
		return
	}
	if c.born != a.info.Born { // it has started again under its id
		unannounced := a.info
		unannounced.Born, unannounced.State = c.born, wire.WorkerUnannounced
		a.reset(unannounced)
		return
	}
	a.polledAt = c.sent
	ended := slices.DeleteFunc(append(slices.Clone(a.ended), c.ended...), func(e wire.EndedRun) bool { return e.Number <= c.acked })
	slices.SortFunc(ended, func(x, y wire.EndedRun) int { return cmp.Compare(x.Number, y.Number) })
	a.ended = slices.CompactFunc(ended, func(x, y wire.EndedRun) bool { return x.Number == y.Number })
	a.moreEnds = c.moreEnds
	a.running = make(map[wire.TaskRun]bool)
	for _, r := range c.listed {
		a.running[r] = true
	}
	for r, at := range a.unlisted {
		if at <= c.sent {
			delete(a.unlisted, r)
		} else if !a.hasEnded(r) {
			a.running[r] = true
		}
	}
	a.polled = a.polled || a.ordered && c.token == a.workerToken()
	for r, p := range a.pending {
		if p.stopAckedAt == 0 || c.sent <= p.stopAckedAt || a.running[r] {
			continue
		}
		ended := a.hasEnded(r)
		if !ended && a.moreEnds {
			continue
		}
		delete(a.pending, r)
		if !ended {
			a.refused[r] = true
		}
	}
	m.apply(a)
}

// report sends a report on its way.
func (m *model) report(a *modelAgent) {
	if a.conn == nil || a.info.Instance == "" || !a.polled && a.info.State != wire.WorkerGone {
		return
	}
	a.sequence++
	r := &wire.WorkerReport{
		Sequence: a.sequence, Node: a.name, Sent: m.bootTime(), RunningAt: m.bootTime(), Worker: a.info, Ended: slices.Clone(a.ended), MoreEnds: a.moreEnds,
		Pending: sortedRuns(a.pending),
	}
	for _, t := range sortedRuns(a.running) {
		r.Running = append(r.Running, wire.RunningTask{Task: t.Task, Run: t.Run})
	}
	for _, t := range sortedRuns(a.refused) {
		r.Refused = append(r.Refused, wire.RefusedRun{Task: t.Task, Run: t.Run, Reason: "stopped"})
	}
	a.conn.toScheduler = append(a.conn.toScheduler, r)
}

// announce makes the lifetime present whose announcement arrives, in a state that does
// not follow the end of the worker.
func (m *model) announce(a *modelAgent, state wire.WorkerState) {
	if a.worker.down {
		return
	}
	if a.info.Instance == "" || a.worker.born != a.info.Born {
		announced := info(a.name)
		announced.Born = a.worker.born
		a.reset(announced)
	}
	a.info.State, a.info.Remaining = state, time.Second
	if state != wire.WorkerReady {
		for _, p := range a.pending {
			p.stop = true
		}
	}
}

// noticeDown marks the worker as gone after calls that have found no process, unless a
// start call is in progress.
func (m *model) noticeDown(a *modelAgent) {
	if !a.worker.down || a.info.Instance == "" {
		return
	}
	for _, c := range a.calls {
		p := a.pending[c.run]
		if !c.orphan && !c.poll && !c.stop && (c.worker == nil || p != nil && p.call == c) {
			return
		}
	}
	a.info.State = wire.WorkerGone
}

// drawRun chooses one of the runs, if there are any.
func drawRun[V any](m *model, runs map[wire.TaskRun]V) (wire.TaskRun, bool) {
	if len(runs) == 0 {
		return wire.TaskRun{}, false
	}
	return rapid.SampledFrom(sortedRuns(runs)).Draw(m.rt, "run"), true
}

func sortedRuns[V any](runs map[wire.TaskRun]V) []wire.TaskRun {
	return slices.SortedFunc(maps.Keys(runs), func(x, y wire.TaskRun) int {
		return cmp.Or(compareTasks(x.Task, y.Task), cmp.Compare(x.Run, y.Run))
	})
}

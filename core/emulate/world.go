package emulate

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bramleythread/core/job"
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

// world is one play of a scenario.
type world struct {
	s        *Scenario
	now      time.Duration
	seq      int
	events   eventQueue
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
	w.engine.SetGuarantees(s.GuaranteedAccelerators)
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
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
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
			w.after(f.At, func() { w.workers[i].inject(f.Kind, f.Duration) })
		}
	}
	for i, m := range w.workers {
		w.after(reportInterval*time.Duration(i)/time.Duration(len(w.workers)), m.reportForever)
	}
	w.after(0, w.tick)
	for end := w.s.TrafficDuration + settleTime; len(w.events) > 0; {
		e := heap.Pop(&w.events).(event)
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
		w.engine.MarkCommitted(batch)
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
	for _, node := range w.engine.TakeChangedNodes() {
		if o, ok := w.engine.Orders(node); ok {
			w.after(w.s.LinkDelay, func() { w.byNode[node].obey(o) })
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func jobID(n int, kind string) string { return fmt.Sprintf("%s-%05d", kind, n) }

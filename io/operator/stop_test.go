package operator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/upstream"
)

// load sends requests from several callers until it is stopped, to the entries
// that were ready when a balancer's check last asked. A caller that gets no
// connection, or a 503, asks the other entry.
type load struct {
	stop   chan struct{}
	ready  []atomic.Bool // by entry
	wg     sync.WaitGroup
	sent   atomic.Int64
	broken atomic.Int64 // replies cut off
	failed atomic.Int64 // outcomes other than ran
	mu     sync.Mutex
	first  string // the first failure
}

func (f *fleet) startLoad(callers int, service, runFor string) *load {
	l := &load{stop: make(chan struct{}), ready: make([]atomic.Bool, len(f.entries))}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f.balance(l)
	}()
	for c := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				f.loadOne(l, c+i, service, fmt.Sprintf("load-%d-%d", c, i), runFor)
			}
		}()
	}
	return l
}

// balance checks the entries' readiness as a balancer does.
func (f *fleet) balance(l *load) {
	for {
		for i, e := range f.entries {
			l.ready[i].Store(call("GET", e.http, "", "/readyz", "", "").status == 200)
		}
		select {
		case <-l.stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

// pick returns an entry for a request: a ready one, if there is any.
func (l *load) pick(turn int) int {
	for i := range l.ready {
		if k := (turn + i) % len(l.ready); l.ready[k].Load() {
			return k
		}
	}
	return turn % len(l.ready)
}

func (f *fleet) loadOne(l *load, turn int, service, key, runFor string) {
	body := fmt.Sprintf(`{"run_for":%q,"key":%q}`, runFor, key)
	l.sent.Add(1)
	var r reply
	for try := range 2 * len(f.entries) {
		r = f.ask(l.pick(turn+try), "a", service, key, body)
		if !refusedConnection(r.err) && r.status != 503 {
			break
		}
	}
	switch digest, _ := answerOf(r); {
	case r.err != nil:
		l.broken.Add(1)
		l.note(key, r)
	case r.outcome != "ran":
		l.failed.Add(1)
		l.note(key, r)
	case digest != digestOf(body):
		l.failed.Add(1)
		l.note(key+" got another's answer", r)
	}
}

func (l *load) note(key string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == "" {
		l.first = fmt.Sprintf("%s: %d %s %v %s", key, r.status, r.outcome, r.err, r.body)
	}
}

func (l *load) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d requests, %d cut off, %d without ran", l.sent.Load(), l.broken.Load(), l.failed.Load())
	if l.broken.Load() > 0 || l.failed.Load() > 0 {
		t.Errorf("first failure: %s", l.first)
	}
}

// TestRollingRestart stops every process in turn with SIGTERM and starts it
// again, under load of both kinds of work.
func TestRollingRestart(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, notice: 500 * time.Millisecond})
	once := f.startLoad(4, onceService, "30ms")
	check := f.startLoad(4, "check", "80ms")
	for _, c := range append(append([]*child{}, f.entries...), f.agents...) {
		time.Sleep(300 * time.Millisecond)
		c.signal(syscall.SIGTERM)
		is.Equal(c.wait(), 0)
		c.start()
		f.waitReady()
	}
	once.finish(t)
	check.finish(t)
	f.verify()
}

// TestDrainHandsOver stops an agent under a task that runs for longer than
// half of the drain limit: the task goes on elsewhere from its checkpoint.
func TestDrainHandsOver(t *testing.T) {
	is := is.New(t)
	started := make(chan int, 4)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"}, drain: 4 * time.Second,
		step: func(_ *fleet, worker int, step upstream.TaskEvent, _ upstream.Task) {
			if step == upstream.EventStarted {
				started <- worker
			}
		}})
	var r reply
	done := make(chan struct{})
	go func() {
		defer close(done)
		r = f.ask(0, "a", "long", "", `{"run_for":"6s"}`)
	}()
	worker := <-started
	f.agents[worker].signal(syscall.SIGTERM)
	is.Equal(f.agents[worker].wait(), 0)
	<-done
	is.Equal(r.outcome, "ran")
	runs := f.executions()
	is.Equal(len(runs), 2)
	is.True(runs[0].Resumed || runs[1].Resumed)
}

// newWorkEnds is the time within which an upstream that leaves gets no new
// work.
const newWorkEnds = 3 * time.Second

// TestLeavingUpstream has one of three upstreams go, under load, and asks that
// nothing starts on it after newWorkEnds.
func TestLeavingUpstream(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, u *upstreamProcess){
		"announced leave": func(_ *fleet, u *upstreamProcess) {
			_ = u.announcer.Leave(context.Background())
		},
		"crash": func(_ *fleet, u *upstreamProcess) { u.kill() },
		"silent": func(_ *fleet, u *upstreamProcess) {
			u.announcer.Close() // its listener still answers, as in a one-way cut
		},
		"agent killed": func(f *fleet, _ *upstreamProcess) { f.agents[0].kill() },
		"agent frozen": func(f *fleet, _ *upstreamProcess) {
			f.agents[0].signal(syscall.SIGSTOP)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
			l := f.startLoad(4, "check", "5ms")
			f.waitFor("work on worker-0", settleLimit, func() bool { return len(f.upstreams[0].standin.Executions()) > 0 })
			left := time.Now()
			leave(f, f.upstreams[0])
			time.Sleep(newWorkEnds)
			before := len(f.upstreams[0].standin.Executions())
			time.Sleep(time.Second)
			is.Equal(len(f.upstreams[0].standin.Executions()), before)
			is.True(len(f.upstreams[1].standin.Executions())+len(f.upstreams[2].standin.Executions()) > 0)
			l.finish(t)
			t.Logf("last start %s after the leave", lastStart(f.upstreams[0]).Sub(left))
		})
	}
}

func lastStart(u *upstreamProcess) time.Time {
	var last time.Time
	for _, x := range u.standin.Executions() {
		if x.Started.After(last) {
			last = x.Started
		}
	}
	return last
}

// TestFailingWorkerIsEjected has one worker fail everything, then recover.
func TestFailingWorkerIsEjected(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"}})
	ejected := func() int {
		n := 0
		s, _ := f.status(0)
		for _, w := range s.Workers {
			if w.Ejected {
				n++
			}
		}
		return n
	}
	f.upstreams[0].standin.SetErrorRate(1)
	l := f.startLoad(4, "check", "5ms")
	f.waitFor("the ejection of worker-0", settleLimit, func() bool { return ejected() == 1 })
	time.Sleep(200 * time.Millisecond) // for attempts on their way
	before := len(f.upstreams[0].standin.Executions())
	time.Sleep(2 * time.Second)
	is.Equal(len(f.upstreams[0].standin.Executions()), before) // the first probe is later
	f.upstreams[0].standin.SetErrorRate(0)
	f.waitFor("the return of worker-0", settleLimit, func() bool { return ejected() == 0 })
	l.finish(t)
	for _, u := range f.upstreams {
		u.standin.SetErrorRate(1)
	}
	for i := range 60 {
		r := f.ask(0, "a", "check", fmt.Sprintf("bad-%d", i), `{}`)
		is.Equal(r.status, 500) // it fails everywhere, and ends
		is.True(ejected() <= 1) // a third of three
	}
}

// TestEntryKilledBetweenReceiptAndReply kills the entry under a request; the
// caller that asks the other entry gets the answer of the same work.
func TestEntryKilledBetweenReceiptAndReply(t *testing.T) {
	is := is.New(t)
	var f *fleet
	var once sync.Once
	f = startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"},
		step: func(f *fleet, _ int, step upstream.TaskEvent, _ upstream.Task) {
			if step == upstream.EventStarted {
				once.Do(func() { f.entries[0].kill() })
			}
		}})
	body := `{"run_for":"300ms"}`
	first := f.ask(0, "a", onceService, "k", body)
	is.True(first.err != nil)
	second := f.ask(1, "a", onceService, "k", body)
	is.Equal(second.outcome, "ran")
	digest, ok := answerOf(second)
	is.True(ok)
	is.Equal(digest, digestOf(body))
	f.verify()
	is.Equal(len(f.executions()), 1)
}

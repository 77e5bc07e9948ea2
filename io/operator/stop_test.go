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

// loadGenerator sends requests from several callers until it is stopped. Like a load
// balancer it prefers entries whose last readiness check succeeded. A caller whose
// connection is refused, or that gets a 503, tries another entry.
type loadGenerator struct {
	stop         chan struct{}
	ready        []atomic.Bool // by entry
	wg           sync.WaitGroup
	sent         atomic.Int64
	incomplete   atomic.Int64 // requests without a complete reply
	failed       atomic.Int64 // outcomes other than ran, or wrong answers
	mu           sync.Mutex
	firstFailure string
}

func (f *fleet) startLoad(callers int, service, runFor string) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{}), ready: make([]atomic.Bool, len(f.entries))}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f.pollReadiness(l)
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
				f.sendOne(l, c+i, service, fmt.Sprintf("load-%d-%d", c, i), runFor)
			}
		}()
	}
	return l
}

// pollReadiness checks the entries' readiness as a load balancer does.
func (f *fleet) pollReadiness(l *loadGenerator) {
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

// pickEntry returns an entry for a request, a ready one if possible.
func (l *loadGenerator) pickEntry(turn int) int {
	for i := range l.ready {
		if k := (turn + i) % len(l.ready); l.ready[k].Load() {
			return k
		}
	}
	return turn % len(l.ready)
}

func (f *fleet) sendOne(l *loadGenerator, turn int, service, key, runFor string) {
	body := fmt.Sprintf(`{"run_for":%q,"key":%q}`, runFor, key)
	l.sent.Add(1)
	var r reply
	for try := range 2 * len(f.entries) {
		r = f.request(l.pickEntry(turn+try), "a", service, key, body)
		if !connectionRefused(r.err) && r.status != 503 {
			break
		}
	}
	switch digest, _ := answerDigest(r); {
	case r.err != nil:
		l.incomplete.Add(1)
		l.recordFailure(key, r)
	case r.outcome != "ran":
		l.failed.Add(1)
		l.recordFailure(key, r)
	case digest != sha256Hex(body):
		l.failed.Add(1)
		l.recordFailure(key+" got the answer of another request", r)
	}
}

func (l *loadGenerator) recordFailure(key string, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstFailure == "" {
		l.firstFailure = fmt.Sprintf("%s: %d %s %v %s", key, r.status, r.outcome, r.err, r.body)
	}
}

func (l *loadGenerator) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d requests, %d without a complete reply, %d failed", l.sent.Load(), l.incomplete.Load(), l.failed.Load())
	if l.incomplete.Load() > 0 || l.failed.Load() > 0 {
		t.Errorf("first failure: %s", l.firstFailure)
	}
}

// TestRollingRestartLosesNoRequests restarts every process in turn with SIGTERM,
// under a load of repeatable and non-repeatable work. No request may fail.
func TestRollingRestartLosesNoRequests(t *testing.T) {
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

// TestDrainResumesTaskElsewhere stops an agent while it runs a task that needs longer
// than half of the drain limit. The task must continue elsewhere from its checkpoint.
func TestDrainResumesTaskElsewhere(t *testing.T) {
	is := is.New(t)
	started := make(chan int, 4)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"}, drain: 4 * time.Second,
		onEvent: func(_ *fleet, worker int, event upstream.TaskEvent, _ upstream.Task) {
			if event == upstream.EventStarted {
				started <- worker
			}
		}})
	var r reply
	done := make(chan struct{})
	go func() {
		defer close(done)
		r = f.request(0, "a", "long", "", `{"run_for":"6s"}`)
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

// maxWorkAfterLeave is the time after which an upstream that has left must not get
// new work.
const maxWorkAfterLeave = 3 * time.Second

// TestLeavingUpstreamGetsNoNewWork has one of three upstreams leave or fail under
// load. No task may start on it after maxWorkAfterLeave.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, u *upstreamStandin){
		"announced leave": func(_ *fleet, u *upstreamStandin) {
			_ = u.announcer.Leave(context.Background())
		},
		"crash": func(_ *fleet, u *upstreamStandin) { u.kill() },
		"silent": func(_ *fleet, u *upstreamStandin) {
			u.announcer.Close() // its listener still answers, as in a one-way partition
		},
		"agent killed": func(f *fleet, _ *upstreamStandin) { f.agents[0].kill() },
		"agent frozen": func(f *fleet, _ *upstreamStandin) {
			f.agents[0].signal(syscall.SIGSTOP)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
			l := f.startLoad(4, "check", "5ms")
			f.waitFor("work on worker-0", readyTimeout, func() bool { return len(f.upstreams[0].standin.Executions()) > 0 })
			left := time.Now()
			leave(f, f.upstreams[0])
			time.Sleep(maxWorkAfterLeave)
			before := len(f.upstreams[0].standin.Executions())
			time.Sleep(time.Second)
			is.Equal(len(f.upstreams[0].standin.Executions()), before)
			is.True(len(f.upstreams[1].standin.Executions())+len(f.upstreams[2].standin.Executions()) > 0)
			l.finish(t)
			t.Logf("last start %s after the leave", lastStart(f.upstreams[0]).Sub(left))
		})
	}
}

func lastStart(u *upstreamStandin) time.Time {
	var last time.Time
	for _, x := range u.standin.Executions() {
		if x.Started.After(last) {
			last = x.Started
		}
	}
	return last
}

// TestFailingWorkerIsEjected has one worker fail all tasks and then recover. It must
// be ejected and readmitted. If all workers fail, at most one may be ejected.
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
	f.waitFor("the ejection of worker-0", readyTimeout, func() bool { return ejected() == 1 })
	time.Sleep(200 * time.Millisecond) // for attempts in flight
	before := len(f.upstreams[0].standin.Executions())
	time.Sleep(2 * time.Second)
	is.Equal(len(f.upstreams[0].standin.Executions()), before) // the first probe comes later
	f.upstreams[0].standin.SetErrorRate(0)
	f.waitFor("the return of worker-0", readyTimeout, func() bool { return ejected() == 0 })
	l.finish(t)
	for _, u := range f.upstreams {
		u.standin.SetErrorRate(1)
	}
	for i := range 60 {
		r := f.request(0, "a", "check", fmt.Sprintf("bad-%d", i), `{}`)
		is.Equal(r.status, 500) // fails on every worker, and is answered nevertheless
		is.True(ejected() <= 1) // at most a third of the three workers
	}
}

// TestEntryKilledBeforeReply kills the entry after its task has started. A caller that
// repeats the request at the other entry must get the answer of the same execution.
func TestEntryKilledBeforeReply(t *testing.T) {
	is := is.New(t)
	var f *fleet
	var once sync.Once
	f = startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"},
		onEvent: func(f *fleet, _ int, event upstream.TaskEvent, _ upstream.Task) {
			if event == upstream.EventStarted {
				once.Do(func() { f.entries[0].kill() })
			}
		}})
	body := `{"run_for":"300ms"}`
	first := f.request(0, "a", onceService, "k", body)
	is.True(first.err != nil)
	second := f.request(1, "a", onceService, "k", body)
	is.Equal(second.outcome, "ran")
	digest, ok := answerDigest(second)
	is.True(ok)
	is.Equal(digest, sha256Hex(body))
	f.verify()
	is.Equal(len(f.executions()), 1)
}

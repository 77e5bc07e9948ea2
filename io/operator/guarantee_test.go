package operator

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/platform"
	"bramleythread/io/upstream"
)

// maxReclaimTime is the time within which a guaranteed shape must start after it
// is requested, in addition to the grace of the tasks that occupy its workers.
const maxReclaimTime = 2 * time.Second

// testGrace is the grace of the services whose tasks occupy guaranteed workers.
const testGrace = time.Second

// guaranteesOverlay guarantees all of nine workers: a rack each to two customers,
// and two whole workers and eight small shapes to a third.
const guaranteesOverlay = `[guarantee a gang]
count = 1
[guarantee b gang]
count = 1
[guarantee c whole]
count = 2
[guarantee c small]
count = 8
[service train]
timeout = 2m
[service big]
shape = whole
repeatable = true
timeout = 2m
grace = 1s
`

// startRecorder records the times at which customers' tasks start.
type startRecorder struct {
	mu sync.Mutex
	at map[string][]time.Time // by customer and service
}

func (s *startRecorder) onEvent(_ *fleet, _ int, event upstream.TaskEvent, t upstream.Task) {
	if event != upstream.EventStarted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[t.Customer+"/"+t.Service] = append(s.at[t.Customer+"/"+t.Service], time.Now())
}

func (s *startRecorder) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at[id])
}

// fillFleet has the customer filler, who has no guarantees, occupy all accelerators
// with gangs and small tasks.
func (f *fleet) fillFleet(s *startRecorder) {
	f.t.Helper()
	f.submit(0, "filler", "train", "", `{"run_for":"10m"}`)
	f.submit(1, "filler", "train", "", `{"run_for":"10m"}`)
	f.waitFor("the gangs have started", readyTimeout, func() bool { return s.count("filler/train") >= 6 })
	for i := range 8 * (f.cfg.workers - 6) {
		f.submit(i%2, "filler", "long", "", `{"run_for":"10m"}`)
	}
	f.waitFor("every accelerator is in use", readyTimeout, func() bool {
		return s.count("filler/long") >= 8*(f.cfg.workers-6)
	})
}

// reclaimGuarantees requests every guaranteed shape at once and returns the time
// until the last of their tasks has started.
func (f *fleet) reclaimGuarantees(s *startRecorder) time.Duration {
	f.t.Helper()
	want := map[string]int{"a/train": 3, "b/train": 3, "c/big": 2, "c/long": 8}
	before := make(map[string]int)
	for id := range want {
		before[id] = s.count(id)
	}
	begun := time.Now()
	body := `{"run_for":"20s"}`
	f.submit(0, "a", "train", "", body)
	f.submit(1, "b", "train", "", body)
	for i := range 2 {
		f.submit(i%2, "c", "big", "", body)
	}
	for i := range 8 {
		f.submit(i%2, "c", "long", "", body)
	}
	limit := testGrace + maxReclaimTime
	for id, n := range want {
		f.waitFor(fmt.Sprintf("%s has %d tasks running", id, n), max(limit-time.Since(begun), 0), func() bool {
			return s.count(id) >= before[id]+n
		})
	}
	return time.Since(begun)
}

func TestGuaranteedTasksStartInTime(t *testing.T) {
	for name, c := range map[string]struct {
		workers int
		before  func(f *fleet, s *startRecorder) // called after fillFleet
	}{
		"all at once": {workers: 9, before: func(*fleet, *startRecorder) {}},
		"store down": {workers: 9, before: func(f *fleet, _ *startRecorder) {
			f.platform.SetFaults(platform.Faults{Outage: true})
		}},
		"store slow and an entry gone": {workers: 9, before: func(f *fleet, _ *startRecorder) {
			f.platform.SetFaults(platform.Faults{Delay: time.Second})
			f.entries[1].kill()
			f.entries[1].start()
			f.waitFor("the entry is back", readyTimeout, func() bool { return f.canUse(1, 9) })
		}},
		"worker lost and replanned": {workers: 12, before: func(f *fleet, _ *startRecorder) {
			f.upstreams[0].kill()
			f.agents[0].kill()
			f.waitFor("a plan without worker-0", readyTimeout, func() bool { return f.planAvoids(workerName(0)) })
		}},
		"guarantees moved by a configuration": {workers: 9, before: func(f *fleet, _ *startRecorder) {
			swapped := strings.NewReplacer("guarantee a gang", "guarantee c gang",
				"guarantee c whole", "guarantee a whole", "guarantee c small", "guarantee a small").Replace(guaranteesOverlay)
			f.publish(swapped, 1)
			f.waitFor("the first change is in force", propagationLimit, func() bool { return f.configInForce(2) })
			f.publish(guaranteesOverlay, 2)
			f.waitFor("the second change is in force", propagationLimit, func() bool { return f.configInForce(3) })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &startRecorder{at: make(map[string][]time.Time)}
			f := startFleet(t, fleetConfig{entries: 2, workers: c.workers, customers: []string{"a", "b", "c", "filler"},
				overlay: guaranteesOverlay, onEvent: s.onEvent})
			f.fillFleet(s)
			c.before(f, s)
			t.Logf("the last guaranteed task started after %s", f.reclaimGuarantees(s))
			f.checkGangs("train")
		})
	}
}

// planAvoids reports whether every entry has a complete plan that does not use the
// worker.
func (f *fleet) planAvoids(worker string) bool {
	for i := range f.entries {
		s, ok := f.status(i)
		if !ok || len(s.Missing) > 0 || s.PlanVersion == 0 || !f.agentsHavePlan(s.PlanVersion, worker) {
			return false
		}
		if s.Homes[worker] > 0 {
			return false
		}
	}
	return true
}

// agentsHavePlan reports whether, according to the first entry, all agents except
// one apply at least the given version of the plan.
func (f *fleet) agentsHavePlan(version uint64, except string) bool {
	s, ok := f.status(0)
	for _, w := range s.Workers {
		if w.Name != except && w.PlanVersion < version {
			return false
		}
	}
	return ok
}

// TestTruncatedAnswerIsNotDelivered truncates the answers of one upstream. Callers
// must not get a truncated answer: repeatable work is answered by another upstream,
// other work ends as unknown.
func TestTruncatedAnswerIsNotDelivered(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"},
		overlay: "[service certificate]\ntimeout = 3s\n"})
	proxy := newTruncatingProxy(t, f.upstreams[0].web.addr)
	f.upstreams[0].announcer.Close()
	f.upstreams[0].announcer = f.announce(0, proxy.addr)
	f.waitFor("the agent uses the proxy", readyTimeout, func() bool {
		f.request(0, "a", "check", "", `{"pad":3000}`)
		return proxy.count.Load() > 0
	})
	for i := range 10 {
		body := fmt.Sprintf(`{"pad":%d}`, 3000+i)
		r := f.request(0, "a", "check", "", body)
		is.Equal(r.outcome, "ran")
		digest, _ := answerDigest(r)
		is.Equal(digest, sha256Hex(body))
	}
	for i := range 4 {
		r := f.request(0, "a", onceService, fmt.Sprintf("k%d", i), `{"pad":3000}`)
		if digest, whole := answerDigest(r); r.outcome == "ran" {
			is.True(whole)
			is.Equal(digest, sha256Hex(`{"pad":3000}`))
		} else {
			is.Equal(r.outcome, "unknown")
		}
	}
	f.verify()
}

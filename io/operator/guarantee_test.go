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

// reclaimBound is the time from asking for a guaranteed shape to its start,
// beyond the grace of the work that has borrowed it.
const reclaimBound = 2 * time.Second

// testGrace is the grace of the services that borrow in the tests.
const testGrace = time.Second

// guaranteesOfThree fills nine workers: two customers have a rack each, one
// has two whole workers and eight small shapes.
const guaranteesOfThree = `[guarantee a gang]
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

// starts records when tasks of a customer start.
type starts struct {
	mu sync.Mutex
	at map[string][]time.Time // by customer and service
}

func (s *starts) step(_ *fleet, _ int, step upstream.TaskEvent, t upstream.Task) {
	if step != upstream.EventStarted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[t.Customer+"/"+t.Service] = append(s.at[t.Customer+"/"+t.Service], time.Now())
}

func (s *starts) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.at[id])
}

// fill has another customer borrow everything, with gangs and small tasks.
func (f *fleet) fill(s *starts) {
	f.t.Helper()
	f.submit(0, "filler", "train", "", `{"run_for":"10m"}`)
	f.submit(1, "filler", "train", "", `{"run_for":"10m"}`)
	f.waitFor("the gangs have started", settleLimit, func() bool { return s.count("filler/train") >= 6 })
	for i := range 8 * (f.cfg.workers - 6) {
		f.submit(i%2, "filler", "long", "", `{"run_for":"10m"}`)
	}
	f.waitFor("every accelerator is in use", settleLimit, func() bool {
		return s.count("filler/long") >= 8*(f.cfg.workers-6)
	})
}

// reclaim asks for every guaranteed shape at once and returns the time that
// the last of their tasks needed to start.
func (f *fleet) reclaim(s *starts) time.Duration {
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
	limit := testGrace + reclaimBound
	for id, n := range want {
		f.waitFor(fmt.Sprintf("%s has %d tasks running", id, n), max(limit-time.Since(begun), 0), func() bool {
			return s.count(id) >= before[id]+n
		})
	}
	return time.Since(begun)
}

func TestEveryGuaranteeIsReclaimed(t *testing.T) {
	for name, c := range map[string]struct {
		workers int
		before  func(f *fleet, s *starts) // after the hardware is full
	}{
		"all at once": {workers: 9, before: func(*fleet, *starts) {}},
		"store down": {workers: 9, before: func(f *fleet, _ *starts) {
			f.platform.SetFaults(platform.Faults{Outage: true})
		}},
		"store slow and an entry gone": {workers: 9, before: func(f *fleet, _ *starts) {
			f.platform.SetFaults(platform.Faults{Delay: time.Second})
			f.entries[1].kill()
			f.entries[1].start()
			f.waitFor("the entry is back", settleLimit, func() bool { return f.sees(1, 9) })
		}},
		"worker lost and replanned": {workers: 12, before: func(f *fleet, _ *starts) {
			f.upstreams[0].kill()
			f.agents[0].kill()
			f.waitFor("a plan without worker-0", settleLimit, func() bool { return f.planAvoids(workerName(0)) })
		}},
		"guarantees moved by a configuration": {workers: 9, before: func(f *fleet, _ *starts) {
			swapped := strings.NewReplacer("guarantee a gang", "guarantee c gang",
				"guarantee c whole", "guarantee a whole", "guarantee c small", "guarantee a small").Replace(guaranteesOfThree)
			f.publish(swapped, 1)
			f.waitFor("the first change is in force", inForce, func() bool { return f.everywhere(2) })
			f.publish(guaranteesOfThree, 2)
			f.waitFor("the second change is in force", inForce, func() bool { return f.everywhere(3) })
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &starts{at: make(map[string][]time.Time)}
			f := startFleet(t, fleetConfig{entries: 2, workers: c.workers, customers: []string{"a", "b", "c", "filler"},
				overlay: guaranteesOfThree, step: s.step})
			f.fill(s)
			c.before(f, s)
			t.Logf("the last guaranteed task started after %s", f.reclaim(s))
			f.checkGangs("train")
		})
	}
}

// planAvoids reports whether every entry has a whole plan without the worker.
func (f *fleet) planAvoids(worker string) bool {
	for i := range f.entries {
		s, ok := f.status(i)
		if !ok || len(s.Missing) > 0 || s.PlanVersion == 0 || !f.everyPlan(s.PlanVersion, worker) {
			return false
		}
		if s.Homes[worker] > 0 {
			return false
		}
	}
	return true
}

// everyPlan reports whether the agents but that of one worker enforce a plan.
func (f *fleet) everyPlan(version uint64, but string) bool {
	s, ok := f.status(0)
	for _, w := range s.Workers {
		if w.Name != but && w.PlanVersion < version {
			return false
		}
	}
	return ok
}

// TestTruncatedAnswer has one upstream cut its answers off: repeatable work is
// answered whole by another, other work ends as unknown, and nobody gets a part.
func TestTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"},
		overlay: "[service certificate]\ntimeout = 3s\n"})
	cut := newCutter(t, f.upstreams[0].web.addr)
	f.upstreams[0].announcer.Close()
	f.upstreams[0].announcer = f.announce(0, cut.addr)
	f.waitFor("the agent uses the cutter", settleLimit, func() bool {
		f.ask(0, "a", "check", "", `{"pad":3000}`)
		return cut.count.Load() > 0
	})
	for i := range 10 {
		body := fmt.Sprintf(`{"pad":%d}`, 3000+i)
		r := f.ask(0, "a", "check", "", body)
		is.Equal(r.outcome, "ran")
		digest, _ := answerOf(r)
		is.Equal(digest, digestOf(body))
	}
	for i := range 4 {
		r := f.ask(0, "a", onceService, fmt.Sprintf("k%d", i), `{"pad":3000}`)
		if digest, whole := answerOf(r); r.outcome == "ran" {
			is.True(whole)
			is.Equal(digest, digestOf(`{"pad":3000}`))
		} else {
			is.Equal(r.outcome, "unknown")
		}
	}
	f.verify()
}

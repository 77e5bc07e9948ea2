package operator

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/platform"
	"bramleythread/io/upstream"
)

// TestSameKeyThroughTwoEntries sends the same key through both entries at the
// same time, many times over.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	for round := range 20 {
		key := fmt.Sprintf("k%d", round)
		var wg sync.WaitGroup
		replies := make([]reply, 4)
		for i := range replies {
			wg.Add(1)
			go func() {
				defer wg.Done()
				replies[i] = f.ask(i%2, "a", onceService, key, `{"run_for":"20ms"}`)
			}()
		}
		wg.Wait()
		for _, r := range replies {
			is.Equal(r.outcome, "ran")
			is.Equal(r.body, replies[0].body)
		}
	}
	f.verify()
}

// TestLostClaimReply loses the reply of every claim for a while.
func TestLostClaimReply(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	for i := range 10 {
		f.platform.SetFaults(platform.Faults{LostReplies: 1 + i%3})
		r := f.ask(i%2, "a", onceService, fmt.Sprintf("k%d", i), `{}`)
		is.Equal(r.outcome, "ran")
	}
	f.verify()
}

// TestStoreDown asks for both kinds of work while the store is down.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, overlay: "[service certificate]\ntimeout = 3s\n"})
	f.platform.SetFaults(platform.Faults{Outage: true})
	down := f.ask(0, "a", onceService, "down", `{}`)
	is.Equal(down.outcome, "not-run")
	is.Equal(down.status, 503)
	is.Equal(f.ask(1, "a", "check", "", `{}`).outcome, "ran") // repeatable work goes on
	f.platform.SetFaults(platform.Faults{})
	f.verify()
	again := f.ask(1, "a", onceService, "down", `{}`)
	is.Equal(again.outcome, "ran")
	f.platform.SetFaults(platform.Faults{Delay: 300 * time.Millisecond})
	is.Equal(f.ask(0, "a", onceService, "slow", `{}`).outcome, "ran")
	f.verify()
}

// TestAgentKilled kills the agent that runs a certificate at each step, and
// has the caller ask again through the other entry.
func TestAgentKilled(t *testing.T) {
	for name, at := range map[string]upstream.TaskEvent{
		"when it starts": upstream.EventStarted,
		"when it ends":   upstream.EventEnded,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var once sync.Once
			f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, overlay: "[service certificate]\ntimeout = 4s\n",
				step: func(f *fleet, worker int, step upstream.TaskEvent, task upstream.Task) {
					if step == at && task.Service == onceService {
						once.Do(func() { f.agents[worker].kill() })
					}
				}})
			first := f.ask(0, "a", onceService, "k", `{"run_for":"200ms"}`)
			is.Equal(first.outcome, "unknown")
			second := f.ask(1, "a", onceService, "k", `{"run_for":"200ms"}`)
			is.True(second.outcome == "unknown" || second.outcome == "ran")
			f.verify()
			is.Equal(len(f.executions()), 1)
		})
	}
}

// TestHolderFrozen freezes the agent that holds the claim past every lease and
// lets it go on.
func TestHolderFrozen(t *testing.T) {
	is := is.New(t)
	frozen := make(chan int, 1)
	var once sync.Once
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, overlay: "[service certificate]\ntimeout = 8s\n",
		step: func(f *fleet, worker int, step upstream.TaskEvent, task upstream.Task) {
			if step == upstream.EventStarted && task.Service == onceService {
				once.Do(func() {
					f.agents[worker].signal(syscall.SIGSTOP)
					frozen <- worker
				})
			}
		}})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.ask(0, "a", onceService, "k", `{"run_for":"500ms"}`)
	}()
	worker := <-frozen
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.ask(1, "a", onceService, "k", `{"run_for":"500ms"}`)
	}()
	time.Sleep(4 * time.Second) // twice the longest lease
	f.agents[worker].signal(syscall.SIGCONT)
	wg.Wait()
	f.verify()
	is.Equal(len(f.executions()), 1)
}

// TestCancelRacesWithStart cancels requests at random points of their way.
func TestCancelRacesWithStart(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	outcomes := make(map[string]int)
	for i := range 40 {
		key := fmt.Sprintf("k%d", i)
		accepted := f.submit(0, "a", onceService, key, `{"run_for":"5ms"}`)
		time.Sleep(time.Duration(i) * 100 * time.Microsecond)
		call("DELETE", f.entries[0].http, "a", "/v1/requests/"+accepted, "", "")
		r := f.result(0, "a", accepted)
		f.record("a", onceService, key, r)
		outcomes[r.outcome]++
	}
	t.Logf("outcomes: %v", outcomes)
	is.Equal(outcomes["ran"]+outcomes["not-run"]+outcomes["unknown"], 40)
	f.verify()
}

// TestCancelThroughTheOtherEntry cancels requests where a balancer may send the
// cancellation: at the entry that did not take them in, and after the death of
// the one that did.
func TestCancelThroughTheOtherEntry(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"},
		overlay: "[customer a]\nquota = 1\n"})
	f.submit(0, "a", "long", "", `{"run_for":"1m"}`)
	queued := f.submit(0, "a", onceService, "k", `{}`)
	path := "/v1/requests/" + queued
	is.Equal(call("DELETE", f.entries[1].http, "b", path, "", "").status, 404) // another's request
	r := call("DELETE", f.entries[1].http, "a", path, "", "")
	f.record("a", onceService, "k", r)
	is.Equal(r.outcome, "not-run")
	running := f.submit(0, "b", "long", "", `{"run_for":"1m"}`)
	f.waitFor("the second task has started", settleLimit, func() bool { return len(f.executions()) == 2 })
	f.entries[0].kill()
	is.Equal(call("DELETE", f.entries[1].http, "b", "/v1/requests/"+running, "", "").outcome, "unknown")
	f.waitFor("the second task has ended", settleLimit, func() bool { return !f.executions()[1].Ended.IsZero() || !f.executions()[0].Ended.IsZero() })
	f.verify()
}

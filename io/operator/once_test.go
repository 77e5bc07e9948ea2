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

// TestSameKeyThroughTwoEntriesRunsOnce sends requests with the same key to both
// entries concurrently. The task must run once and all callers must get its answer.
func TestSameKeyThroughTwoEntriesRunsOnce(t *testing.T) {
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
				replies[i] = f.request(i%2, "a", onceService, key, `{"run_for":"20ms"}`)
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

// TestTaskRunsDespiteLostClaimReply loses the store's replies to claims, the rows by
// which an agent obtains the right to run a task that must not be repeated.
func TestTaskRunsDespiteLostClaimReply(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	for i := range 10 {
		f.platform.SetFaults(platform.Faults{LostReplies: 1 + i%3})
		r := f.request(i%2, "a", onceService, fmt.Sprintf("k%d", i), `{}`)
		is.Equal(r.outcome, "ran")
	}
	f.verify()
}

// TestStoreOutageRefusesOnlyNonRepeatableWork requests both kinds of work while the
// store is down, and work that must not be repeated while the store is slow.
func TestStoreOutageRefusesOnlyNonRepeatableWork(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, overlay: "[service certificate]\ntimeout = 3s\n"})
	f.platform.SetFaults(platform.Faults{Outage: true})
	down := f.request(0, "a", onceService, "down", `{}`)
	is.Equal(down.outcome, "not-run")
	is.Equal(down.status, 503)
	is.Equal(f.request(1, "a", "check", "", `{}`).outcome, "ran") // repeatable work does not need the store
	f.platform.SetFaults(platform.Faults{})
	f.verify()
	again := f.request(1, "a", onceService, "down", `{}`)
	is.Equal(again.outcome, "ran")
	f.platform.SetFaults(platform.Faults{Delay: 300 * time.Millisecond})
	is.Equal(f.request(0, "a", onceService, "slow", `{}`).outcome, "ran")
	f.verify()
}

// TestKilledAgentDoesNotRepeatTask kills the agent of a non-repeatable task when the
// task starts or ends. The task must not run again when the caller repeats the
// request at the other entry.
func TestKilledAgentDoesNotRepeatTask(t *testing.T) {
	for name, at := range map[string]upstream.TaskEvent{
		"when it starts": upstream.EventStarted,
		"when it ends":   upstream.EventEnded,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var once sync.Once
			f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, overlay: "[service certificate]\ntimeout = 4s\n",
				onEvent: func(f *fleet, worker int, event upstream.TaskEvent, task upstream.Task) {
					if event == at && task.Service == onceService {
						once.Do(func() { f.agents[worker].kill() })
					}
				}})
			first := f.request(0, "a", onceService, "k", `{"run_for":"200ms"}`)
			is.Equal(first.outcome, "unknown")
			second := f.request(1, "a", onceService, "k", `{"run_for":"200ms"}`)
			is.True(second.outcome == "unknown" || second.outcome == "ran")
			f.verify()
			is.Equal(len(f.executions()), 1)
		})
	}
}

// TestFrozenClaimHolderDoesNotRepeatTask freezes the agent that holds the claim until
// all leases have expired, and then resumes it. The task must not run twice.
func TestFrozenClaimHolderDoesNotRepeatTask(t *testing.T) {
	is := is.New(t)
	frozen := make(chan int, 1)
	var once sync.Once
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, overlay: "[service certificate]\ntimeout = 8s\n",
		onEvent: func(f *fleet, worker int, event upstream.TaskEvent, task upstream.Task) {
			if event == upstream.EventStarted && task.Service == onceService {
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
		f.request(0, "a", onceService, "k", `{"run_for":"500ms"}`)
	}()
	worker := <-frozen
	wg.Add(1)
	go func() {
		defer wg.Done()
		f.request(1, "a", onceService, "k", `{"run_for":"500ms"}`)
	}()
	time.Sleep(4 * time.Second) // twice the longest lease
	f.agents[worker].signal(syscall.SIGCONT)
	wg.Wait()
	f.verify()
	is.Equal(len(f.executions()), 1)
}

// TestCancelRacesWithStart cancels requests at different times after submission.
// The reported outcome must agree with whether the task ran.
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

// TestCancelThroughOtherEntry cancels requests at the entry that did not accept
// them, as behind a load balancer, while the accepting entry runs and after it was
// killed.
func TestCancelThroughOtherEntry(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"},
		overlay: "[customer a]\nquota = 1\n"})
	f.submit(0, "a", "long", "", `{"run_for":"1m"}`)
	queued := f.submit(0, "a", onceService, "k", `{}`)
	path := "/v1/requests/" + queued
	is.Equal(call("DELETE", f.entries[1].http, "b", path, "", "").status, 404) // belongs to another customer
	r := call("DELETE", f.entries[1].http, "a", path, "", "")
	f.record("a", onceService, "k", r)
	is.Equal(r.outcome, "not-run")
	running := f.submit(0, "b", "long", "", `{"run_for":"1m"}`)
	f.waitFor("the second task has started", readyTimeout, func() bool { return len(f.executions()) == 2 })
	f.entries[0].kill()
	is.Equal(call("DELETE", f.entries[1].http, "b", "/v1/requests/"+running, "", "").outcome, "unknown")
	f.waitFor("the second task has ended", readyTimeout, func() bool { return !f.executions()[1].Ended.IsZero() || !f.executions()[0].Ended.IsZero() })
	f.verify()
}

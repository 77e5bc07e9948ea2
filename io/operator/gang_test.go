package operator

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/entry"
	"bramleythread/io/upstream"
)

// gangAttempt is one attempt to run a gang (a task that runs on several workers at
// once), as recorded by the upstreams.
type gangAttempt struct {
	attempt string
	members []upstream.Execution
}

// gangAttempts groups the executions of a service by attempt.
func (f *fleet) gangAttempts(service string) []gangAttempt {
	byAttempt := make(map[string][]upstream.Execution)
	for _, x := range f.executions() {
		if x.Service == service {
			attempt := x.ID[:len(x.ID)-len(fmt.Sprintf(".%d", x.Rank))]
			byAttempt[attempt] = append(byAttempt[attempt], x)
		}
	}
	var attempts []gangAttempt
	for attempt, members := range byAttempt {
		attempts = append(attempts, gangAttempt{attempt: attempt, members: members})
	}
	slices.SortFunc(attempts, func(a, b gangAttempt) int { return cmp.Compare(a.attempt, b.attempt) })
	return attempts
}

// partialRunTime returns how long some members ran although another had already
// ended or had not started.
func (r gangAttempt) partialRunTime(now time.Time) time.Duration {
	size := r.members[0].Size
	var lastStart, firstEnd, lastEnd time.Time
	for i, x := range r.members {
		end := x.Ended
		if end.IsZero() {
			end = now
		}
		if i == 0 || x.Started.After(lastStart) {
			lastStart = x.Started
		}
		if i == 0 || end.Before(firstEnd) {
			firstEnd = end
		}
		if i == 0 || end.After(lastEnd) {
			lastEnd = end
		}
	}
	if len(r.members) < size {
		first := slices.MinFunc(r.members, func(a, b upstream.Execution) int { return a.Started.Compare(b.Started) })
		return lastEnd.Sub(first.Started)
	}
	return lastEnd.Sub(firstEnd)
}

// checkGangs fails the test if a member of a gang started before all members were
// loaded, or if a part of the gang ran alone for longer than MaxPartialRun plus
// slack.
func (f *fleet) checkGangs(service string) {
	f.t.Helper()
	const slack = 500 * time.Millisecond // for the timers of the stand-ins
	for _, r := range f.gangAttempts(service) {
		var lastLoaded, firstStart time.Time
		for i, x := range r.members {
			if x.Loaded.After(lastLoaded) {
				lastLoaded = x.Loaded
			}
			if i == 0 || x.Started.Before(firstStart) {
				firstStart = x.Started
			}
		}
		if firstStart.Before(lastLoaded) {
			f.t.Errorf("%s: a member started before another was loaded", r.attempt)
		}
		d := r.partialRunTime(time.Now())
		f.t.Logf("%s: %d of %d members started, ran partially for %s", r.attempt, len(r.members), r.members[0].Size, d)
		if d > entry.MaxPartialRun+slack {
			f.t.Errorf("%s: ran partially for %s, limit %s", r.attempt, d, entry.MaxPartialRun)
		}
	}
}

// gangBody makes a gang run for longer than MaxPartialRun, so that checkGangs
// detects members that were not stopped.
const gangBody = `{"run_for":"5s"}`

// TestGangRunsWholeDespiteFaults kills, freezes or disconnects each process at each
// event of a gang. The gang must still run as a whole in the end. The lead is the
// agent of rank 0.
func TestGangRunsWholeDespiteFaults(t *testing.T) {
	type fault struct {
		event  upstream.TaskEvent
		rank   int // rank of the member whose event triggers the fault
		target string
		signal syscall.Signal
	}
	for name, c := range map[string]fault{
		"member killed when loaded":   {upstream.EventLoaded, 1, "member", syscall.SIGKILL},
		"lead killed when loaded":     {upstream.EventLoaded, 1, "lead", syscall.SIGKILL},
		"member killed when started":  {upstream.EventStarted, 2, "member", syscall.SIGKILL},
		"lead killed when started":    {upstream.EventStarted, 0, "lead", syscall.SIGKILL},
		"lead killed while it runs":   {upstream.EventRenewed, 1, "lead", syscall.SIGKILL},
		"member frozen when started":  {upstream.EventStarted, 1, "member", syscall.SIGSTOP},
		"lead frozen when started":    {upstream.EventStarted, 1, "lead", syscall.SIGSTOP},
		"lead frozen when loaded":     {upstream.EventLoaded, 2, "lead", syscall.SIGSTOP},
		"entry killed when loaded":    {upstream.EventLoaded, 1, "entry", syscall.SIGKILL},
		"entry killed when started":   {upstream.EventStarted, 1, "entry", syscall.SIGKILL},
		"upstream gone when started":  {upstream.EventStarted, 1, "upstream", 0},
		"upstream gone when loaded":   {upstream.EventLoaded, 2, "upstream", 0},
		"link cut when loaded":        {upstream.EventLoaded, 1, "link", 0},
		"link cut when started":       {upstream.EventStarted, 1, "link", 0},
		"link cut one way":            {upstream.EventStarted, 2, "link back", 0},
		"member stopped when started": {upstream.EventStarted, 1, "member", syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var once sync.Once
			leads := make(chan int, 1) // the worker of rank 0, once it has loaded its task
			f := startFleet(t, fleetConfig{entries: 2, workers: 6, customers: []string{"a"}, relayAgents: true,
				overlay: "[service train]\ntimeout = 30s\n",
				onEvent: func(f *fleet, worker int, event upstream.TaskEvent, task upstream.Task) {
					if task.Service != "train" {
						return
					}
					if event == upstream.EventLoaded && task.Rank == 0 {
						select {
						case leads <- worker:
						default:
						}
					}
					if event == c.event && task.Rank == c.rank {
						once.Do(func() {
							lead := <-leads
							f.injectFault(c.target, worker, lead, c.signal)
						})
					}
				}})
			r := f.request(0, "a", "train", "", gangBody)
			if c.target == "entry" {
				is.True(r.err != nil) // the caller retries at the other entry
				r = f.request(1, "a", "train", "", gangBody)
			}
			is.NoErr(r.err)
			is.Equal(r.outcome, "ran")
			time.Sleep(entry.MaxPartialRun) // until members of failed attempts have stopped
			f.checkGangs("train")
			f.verify()
		})
	}
}

// injectFault injects the fault of a test case. A frozen process is resumed after
// its leases have expired.
func (f *fleet) injectFault(target string, member, lead int, signal syscall.Signal) {
	var victim *child
	switch target {
	case "member":
		victim = f.agents[member]
	case "lead":
		victim = f.agents[lead]
	case "entry":
		victim = f.entries[0]
	case "upstream":
		go f.upstreams[member].kill()
		return
	case "link":
		f.cutAgentRelay(member, relayDropBoth)
		return
	case "link back":
		f.cutAgentRelay(member, relayDropReplies)
		return
	}
	victim.signal(signal)
	if signal == syscall.SIGSTOP {
		time.AfterFunc(4*time.Second, func() { victim.signal(syscall.SIGCONT) })
	}
}

// cutAgentRelay cuts the connections from a lead to a member for longer than any
// lease.
func (f *fleet) cutAgentRelay(member int, mode int32) {
	f.agentRelays[member].mode.Store(mode)
	time.AfterFunc(4*time.Second, func() { f.agentRelays[member].mode.Store(relayOpen) })
}

// TestConcurrentGangsDoNotDeadlock has both entries request gangs on the same
// workers concurrently. They must not wait for each other forever.
func TestConcurrentGangsDoNotDeadlock(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"},
		overlay: "[service train]\ntimeout = 30s\n"})
	var wg sync.WaitGroup
	replies := make([]reply, 12)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = f.request(i%2, []string{"a", "b"}[i%2], "train", "", `{"run_for":"50ms"}`)
		}()
	}
	wg.Wait()
	for _, r := range replies {
		is.NoErr(r.err)
		is.Equal(r.outcome, "ran")
	}
	f.checkGangs("train")
}

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

// gangRun is what the upstreams recorded of one attempt at a gang.
type gangRun struct {
	attempt string
	members []upstream.Execution
}

// gangRuns groups the executions of a service by attempt.
func (f *fleet) gangRuns(service string) []gangRun {
	byAttempt := make(map[string][]upstream.Execution)
	for _, x := range f.executions() {
		if x.Service == service {
			attempt := x.ID[:len(x.ID)-len(fmt.Sprintf(".%d", x.Rank))]
			byAttempt[attempt] = append(byAttempt[attempt], x)
		}
	}
	var runs []gangRun
	for attempt, members := range byAttempt {
		runs = append(runs, gangRun{attempt: attempt, members: members})
	}
	slices.SortFunc(runs, func(a, b gangRun) int { return cmp.Compare(a.attempt, b.attempt) })
	return runs
}

// partial returns how long some members ran after another had ended early, or
// while another had not started.
func (r gangRun) partial(now time.Time) time.Duration {
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

// checkGangs fails if a part of a gang was released before all were loaded, or
// ran alone for longer than the stated bound. Members that end by themselves
// within slack of each other do not count.
func (f *fleet) checkGangs(service string) {
	f.t.Helper()
	const slack = 500 * time.Millisecond // for the stand-ins' own timers
	for _, r := range f.gangRuns(service) {
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
			f.t.Errorf("%s: a member started before another was parked", r.attempt)
		}
		d := r.partial(time.Now())
		f.t.Logf("%s: %d of %d members started, in part for %s", r.attempt, len(r.members), r.members[0].Size, d)
		if d > entry.MaxPartialRun+slack {
			f.t.Errorf("%s: ran in part for %s, bound %s", r.attempt, d, entry.MaxPartialRun)
		}
	}
}

// gangBody runs for longer than MaxPartial, so that a gang that is not stopped
// shows.
const gangBody = `{"run_for":"5s"}`

// TestGangFaults kills or freezes each party at each step of a gang, and asks
// that the gang still runs as a whole in the end.
func TestGangFaults(t *testing.T) {
	type hit struct {
		step   upstream.TaskEvent
		rank   int // the member at whose step the fault strikes
		target string
		signal syscall.Signal
	}
	for name, h := range map[string]hit{
		"member killed when parked":    {upstream.EventLoaded, 1, "member", syscall.SIGKILL},
		"lead killed when parked":      {upstream.EventLoaded, 1, "lead", syscall.SIGKILL},
		"member killed when released":  {upstream.EventStarted, 2, "member", syscall.SIGKILL},
		"lead killed when released":    {upstream.EventStarted, 0, "lead", syscall.SIGKILL},
		"lead killed while it runs":    {upstream.EventRenewed, 1, "lead", syscall.SIGKILL},
		"member frozen when released":  {upstream.EventStarted, 1, "member", syscall.SIGSTOP},
		"lead frozen when released":    {upstream.EventStarted, 1, "lead", syscall.SIGSTOP},
		"lead frozen when parked":      {upstream.EventLoaded, 2, "lead", syscall.SIGSTOP},
		"entry killed when parked":     {upstream.EventLoaded, 1, "entry", syscall.SIGKILL},
		"entry killed when released":   {upstream.EventStarted, 1, "entry", syscall.SIGKILL},
		"upstream gone when released":  {upstream.EventStarted, 1, "upstream", 0},
		"upstream gone when parked":    {upstream.EventLoaded, 2, "upstream", 0},
		"link cut when parked":         {upstream.EventLoaded, 1, "link", 0},
		"link cut when released":       {upstream.EventStarted, 1, "link", 0},
		"link cut one way":             {upstream.EventStarted, 2, "link back", 0},
		"member stopped when released": {upstream.EventStarted, 1, "member", syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var once sync.Once
			leads := make(chan int, 1) // the worker of rank 0, once it has loaded
			f := startFleet(t, fleetConfig{entries: 2, workers: 6, customers: []string{"a"}, members: true,
				overlay: "[service train]\ntimeout = 30s\n",
				step: func(f *fleet, worker int, step upstream.TaskEvent, task upstream.Task) {
					if task.Service != "train" {
						return
					}
					if step == upstream.EventLoaded && task.Rank == 0 {
						select {
						case leads <- worker:
						default:
						}
					}
					if step == h.step && task.Rank == h.rank {
						once.Do(func() {
							lead := <-leads
							f.strike(h.target, worker, lead, h.signal)
						})
					}
				}})
			r := f.ask(0, "a", "train", "", gangBody)
			if h.target == "entry" {
				is.True(r.err != nil) // its caller asks the other entry
				r = f.ask(1, "a", "train", "", gangBody)
			}
			is.NoErr(r.err)
			is.Equal(r.outcome, "ran")
			time.Sleep(entry.MaxPartialRun) // until what is left over has stopped
			f.checkGangs("train")
			f.verify()
		})
	}
}

// strike brings about the fault of one case. A frozen process goes on after
// its leases have ended.
func (f *fleet) strike(target string, member, lead int, signal syscall.Signal) {
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
		f.cutLink(member, relayCut)
		return
	case "link back":
		f.cutLink(member, relayCutBack)
		return
	}
	victim.signal(signal)
	if signal == syscall.SIGSTOP {
		time.AfterFunc(4*time.Second, func() { victim.signal(syscall.SIGCONT) })
	}
}

// cutLink cuts the link by which a lead reaches a member, for longer than every
// lease.
func (f *fleet) cutLink(member int, mode int32) {
	f.links[member].mode.Store(mode)
	time.AfterFunc(4*time.Second, func() { f.links[member].mode.Store(relayOpen) })
}

// TestGangsFromTwoEntries has both entries want the same workers again and
// again: none may wait for the other for ever.
func TestGangsFromTwoEntries(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"},
		overlay: "[service train]\ntimeout = 30s\n"})
	var wg sync.WaitGroup
	replies := make([]reply, 12)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = f.ask(i%2, []string{"a", "b"}[i%2], "train", "", `{"run_for":"50ms"}`)
		}()
	}
	wg.Wait()
	for _, r := range replies {
		is.NoErr(r.err)
		is.Equal(r.outcome, "ran")
	}
	f.checkGangs("train")
}

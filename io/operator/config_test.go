package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/platform"
)

// inForce is the time within which an accepted configuration is in force
// everywhere.
const inForce = 10 * time.Second

// operatorFiles writes the files that one operator's publish reads.
func (f *fleet) operatorFiles(operator, overlay string) (settings, base, over string) {
	f.t.Helper()
	settings = filepath.Join(f.dir, operator+".ini")
	base = filepath.Join(f.dir, operator+"-base.ini")
	over = filepath.Join(f.dir, operator+"-overlay.ini")
	for file, text := range map[string]string{
		settings: fmt.Sprintf("[store]\naddress = %s\n[operator]\nentry = %s\ntoken = %s\n", f.web.addr, f.entries[0].http, operatorToken),
		base:     testConfig(f.cfg.workers, f.cfg.customers),
		over:     overlay,
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	return settings, base, over
}

// everywhere reports whether every entry and every agent has at least the
// version in force.
func (f *fleet) everywhere(version uint64) bool {
	for i := range f.entries {
		s, ok := f.status(i)
		if !ok || s.ConfigVersion < version || len(s.Workers) < len(f.agents) {
			return false
		}
		for _, w := range s.Workers {
			if w.ConfigVersion < version || w.PlanVersion < s.PlanVersion {
				return false
			}
		}
	}
	return true
}

// TestOperatorsRace has 20 operators publish at once, round after round, while
// processes restart and the store is down for a while.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"}})
	watch := f.watchVersions()
	for round := range 4 {
		version := uint64(round + 1)
		won, lost := f.race(20, version)
		is.Equal(len(won), 1)
		for _, message := range lost {
			if told := fmt.Sprintf("version %d by %s at ", version+1, won[0]); !strings.Contains(message, told) {
				t.Errorf("a loser was told %q", message)
			}
		}
		switch round {
		case 0:
			f.agents[0].kill()
			f.agents[0].start()
		case 1:
			f.entries[1].kill()
			f.entries[1].start()
		case 2:
			f.platform.SetFaults(platform.Faults{Outage: true})
			f.agents[1].signal(syscall.SIGTERM)
			f.agents[1].wait()
			f.agents[1].start()
			time.Sleep(time.Second)
			f.platform.SetFaults(platform.Faults{})
		}
		f.waitFor("the version is in force everywhere", inForce, func() bool { return f.everywhere(version + 1) })
	}
	watch()
}

// race publishes from n operators at once, all from the same version. It
// returns the authors that won and what the others were told.
func (f *fleet) race(n int, version uint64) (won, lost []string) {
	f.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range n {
		author := fmt.Sprintf("operator-%d", i)
		settings, base, over := f.operatorFiles(author, fmt.Sprintf("[limits]\nattempts = %d\n", 1+i%8))
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, stderr := runCommand("publish", "-settings", settings, "-base", base, "-overlay", over,
				"-author", author, "-expect", fmt.Sprint(version))
			mu.Lock()
			defer mu.Unlock()
			if status == exitOK {
				won = append(won, author)
				return
			}
			lost = append(lost, stderr)
		}()
	}
	wg.Wait()
	return won, lost
}

// watchVersions polls the versions that every process reports until the
// function that it returns is called, which fails the test if one shrank.
func (f *fleet) watchVersions() (finish func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	var shrank string
	go func() {
		defer close(done)
		highest := make(map[string]uint64)
		see := func(name string, version uint64) {
			if version > 0 && version < highest[name] && shrank == "" {
				shrank = fmt.Sprintf("%s went from %d to %d", name, highest[name], version)
			}
			highest[name] = max(highest[name], version)
		}
		for {
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
			for i := range f.entries {
				if s, ok := f.status(i); ok {
					see(fmt.Sprintf("entry-%d", i), s.ConfigVersion)
					for _, w := range s.Workers {
						see(fmt.Sprintf("%s at entry-%d", w.Name, i), w.ConfigVersion)
					}
				}
			}
		}
	}()
	return func() {
		f.t.Helper()
		close(stop)
		<-done
		if shrank != "" {
			f.t.Errorf("a version reverted: %s", shrank)
		}
	}
}

// TestEntryStartsDuringOutage starts an entry while the store is down: it takes
// the configuration from its peer, and serves nothing before that.
func TestEntryStartsDuringOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	f.platform.SetFaults(platform.Faults{Outage: true})
	f.entries[1].kill()
	f.entries[1].start()
	f.waitReady()
	is.Equal(f.ask(1, "a", "check", "", `{}`).outcome, "ran")
	f.entries[0].kill()
	f.entries[1].kill()
	f.entries[1].start() // nobody is left to ask
	f.waitFor("the entry answers", settleLimit, func() bool {
		return call("GET", f.entries[1].http, "", "/healthz", "", "").status == 200
	})
	is.Equal(f.ask(1, "a", "check", "", `{}`).status, 503)
	is.Equal(call("GET", f.entries[1].http, "", "/readyz", "", "").status, 503)
	f.platform.SetFaults(platform.Faults{})
	f.waitFor("the entry serves", settleLimit, func() bool { return f.sees(1, 3) })
	f.verify()
}

// TestCutOffEntry cuts one entry off from its peer, the agents and, by an
// outage, the store; its stale configuration must not be served once it knows
// of a newer one, and it catches up within inForce.
func TestCutOffEntry(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"}, ownRelays: true})
	f.relays[1].mode.Store(relayCut)
	f.publish("[customer b]\ndisabled = true\n", 1)
	f.waitFor("the version is in force at the other entry", inForce, func() bool {
		s, ok := f.status(0)
		return ok && s.ConfigVersion == 2
	})
	is.Equal(f.ask(0, "b", "check", "", `{}`).status, 401)
	f.relays[1].mode.Store(relayOpen)
	f.waitFor("the version is in force everywhere", inForce, func() bool { return f.everywhere(2) })
	is.Equal(f.ask(1, "b", "check", "", `{}`).status, 401)
}

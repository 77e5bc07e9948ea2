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

// propagationLimit is the time within which a published configuration must be in
// force in all processes.
const propagationLimit = 10 * time.Second

// operatorFiles writes the settings, the base file and the overlay for an
// operator's publish command.
func (f *fleet) operatorFiles(operator, overlay string) (settings, base, overlayFile string) {
	f.t.Helper()
	settings = filepath.Join(f.dir, operator+".ini")
	base = filepath.Join(f.dir, operator+"-base.ini")
	overlayFile = filepath.Join(f.dir, operator+"-overlay.ini")
	for file, text := range map[string]string{
		settings:    fmt.Sprintf("[store]\naddress = %s\n[operator]\nentry = %s\ntoken = %s\n", f.web.addr, f.entries[0].http, operatorToken),
		base:        testConfig(f.cfg.workers, f.cfg.customers),
		overlayFile: overlay,
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	return settings, base, overlayFile
}

// configInForce reports whether every entry and every agent uses the version or a
// later one.
func (f *fleet) configInForce(version uint64) bool {
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

// TestConcurrentPublishesHaveOneWinner has 20 operators publish from the same
// version concurrently: exactly one must succeed and the others must be told its
// name. Between the rounds processes restart and the store has an outage. No process
// may report a lower version than before.
func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"}})
	finishWatch := f.watchVersions()
	for round := range 4 {
		version := uint64(round + 1)
		winners, refusals := f.publishConcurrently(20, version)
		is.Equal(len(winners), 1)
		for _, message := range refusals {
			if want := fmt.Sprintf("version %d by %s at ", version+1, winners[0]); !strings.Contains(message, want) {
				t.Errorf("unexpected output of a refused publish: %q", message)
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
		f.waitFor("the version is in force everywhere", propagationLimit, func() bool { return f.configInForce(version + 1) })
	}
	finishWatch()
}

// publishConcurrently publishes as n operators at once, all from the same version.
// It returns the authors that succeeded and the error output of the others.
func (f *fleet) publishConcurrently(n int, version uint64) (winners, refusals []string) {
	f.t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range n {
		author := fmt.Sprintf("operator-%d", i)
		settings, base, overlay := f.operatorFiles(author, fmt.Sprintf("[limits]\nattempts = %d\n", 1+i%8))
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, stderr := runCommand("publish", "-settings", settings, "-base", base, "-overlay", overlay,
				"-author", author, "-expect", fmt.Sprint(version))
			mu.Lock()
			defer mu.Unlock()
			if status == exitOK {
				winners = append(winners, author)
				return
			}
			refusals = append(refusals, stderr)
		}()
	}
	wg.Wait()
	return winners, refusals
}

// watchVersions polls the versions that all processes report until finish is
// called, which fails the test if a version decreased.
func (f *fleet) watchVersions() (finish func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	var decreased string
	go func() {
		defer close(done)
		highest := make(map[string]uint64)
		observe := func(name string, version uint64) {
			if version > 0 && version < highest[name] && decreased == "" {
				decreased = fmt.Sprintf("%s went from %d to %d", name, highest[name], version)
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
					observe(fmt.Sprintf("entry-%d", i), s.ConfigVersion)
					for _, w := range s.Workers {
						observe(fmt.Sprintf("%s at entry-%d", w.Name, i), w.ConfigVersion)
					}
				}
			}
		}
	}()
	return func() {
		f.t.Helper()
		close(stop)
		<-done
		if decreased != "" {
			f.t.Errorf("a version decreased: %s", decreased)
		}
	}
}

// TestEntryStartsDuringOutage starts an entry while the store is down. It must get
// the configuration from its peer, and refuse requests if it has no peer either.
func TestEntryStartsDuringOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	f.platform.SetFaults(platform.Faults{Outage: true})
	f.entries[1].kill()
	f.entries[1].start()
	f.waitReady()
	is.Equal(f.request(1, "a", "check", "", `{}`).outcome, "ran")
	f.entries[0].kill()
	f.entries[1].kill()
	f.entries[1].start() // neither a peer nor the store is available
	f.waitFor("the entry answers", readyTimeout, func() bool {
		return call("GET", f.entries[1].http, "", "/healthz", "", "").status == 200
	})
	is.Equal(f.request(1, "a", "check", "", `{}`).status, 503)
	is.Equal(call("GET", f.entries[1].http, "", "/readyz", "", "").status, 503)
	f.platform.SetFaults(platform.Faults{})
	f.waitFor("the entry serves", readyTimeout, func() bool { return f.canUse(1, 3) })
	f.verify()
}

// TestDisconnectedEntryCatchesUp cuts an entry's control connections while a
// configuration is published. Once they work again, the entry must apply the new
// version within propagationLimit and no longer serve by the old one.
func TestDisconnectedEntryCatchesUp(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a", "b"}, relayEntries: true})
	f.entryRelays[1].mode.Store(relayDropBoth)
	f.publish("[customer b]\ndisabled = true\n", 1)
	f.waitFor("the version is in force at the other entry", propagationLimit, func() bool {
		s, ok := f.status(0)
		return ok && s.ConfigVersion == 2
	})
	is.Equal(f.request(0, "b", "check", "", `{}`).status, 401)
	f.entryRelays[1].mode.Store(relayOpen)
	f.waitFor("the version is in force everywhere", propagationLimit, func() bool { return f.configInForce(2) })
	is.Equal(f.request(1, "b", "check", "", `{}`).status, 401)
}

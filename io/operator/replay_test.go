package operator

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRecordedTraceReplays records what an entry decides under load and while
// an agent dies, and replays it to the same decisions.
func TestRecordedTraceReplays(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"}, calls: 100_000,
		overlay: "[guarantee a small]\ncount = 4\n"})
	l := f.startLoad(6, "check", "5ms")
	time.Sleep(300 * time.Millisecond)
	f.agents[1].kill()
	time.Sleep(700 * time.Millisecond)
	l.finish(t)
	f.agents[1].start()
	f.waitReady()
	is.Equal(f.ask(0, "a", "train", "", `{}`).outcome, "ran")
	f.entries[0].signal(syscall.SIGTERM)
	is.Equal(f.entries[0].wait(), 0)
	key := f.tracedBy("entry-0")
	settings, _, _ := f.operatorFiles("operator", "")
	status, stdout, stderr := runCommand("replay", "-settings", settings, "-object", key)
	is.Equal(stderr, "")
	is.Equal(status, exitOK)
	is.True(strings.Contains(stdout, "the same decisions"))
	t.Log(strings.TrimSpace(stdout))
}

// tracedBy returns the object key of the trace that an entry has logged.
func (f *fleet) tracedBy(entry string) string {
	f.t.Helper()
	for line := range strings.Lines(readFile(f.t, filepath.Join(f.dir, entry+".log"))) {
		if _, rest, ok := strings.Cut(line, "event=trace_saved"); ok {
			_, rest, _ = strings.Cut(rest, "object=")
			return strings.Fields(rest)[0]
		}
	}
	f.t.Fatal("no trace was saved")
	return ""
}

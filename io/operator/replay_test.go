package operator

import (
	"os"
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

// TestCommittedTraces replays the traces of the examples and compares them with
// their stated outcomes.
func TestCommittedTraces(t *testing.T) {
	for name, file := range map[string]string{
		"puhkekapsel": "../../examples/traces/puhkekapsel.jsonl",
		"chaophraya":  "../../examples/traces/chaophraya.jsonl",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, stdout, stderr := runCommand("replay", "-only", file)
			is.Equal(stderr, "")
			is.Equal(status, exitOK)
			is.True(strings.Contains(stdout, "urgent_start_max"))
		})
	}
}

// TestExampleConfigurations checks the configurations of the examples.
func TestExampleConfigurations(t *testing.T) {
	for name, overlay := range map[string]string{
		"puhkekapsel": "../../examples/puhkekapsel.ini",
		"chaophraya":  "../../examples/chaophraya.ini",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, _, stderr := runCommand("check", "-base", "../../examples/base.ini", "-overlay", overlay)
			is.Equal(stderr, "")
			is.Equal(status, exitOK)
		})
	}
}

// TestCheckReportsWhatDoesNotFit raises a guarantee beyond the racks.
func TestCheckReportsWhatDoesNotFit(t *testing.T) {
	is := is.New(t)
	text := readFile(t, "../../examples/puhkekapsel.ini")
	text = strings.Replace(text, "[guarantee training rack]\ncount = 1", "[guarantee training rack]\ncount = 4", 1)
	file := filepath.Join(t.TempDir(), "overlay.ini")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	status, _, stderr := runCommand("check", "-base", "../../examples/base.ini", "-overlay", file)
	is.Equal(status, exitFailure)
	is.True(strings.Contains(stderr, `guarantee training rack.count: 1 of the shapes "rack" do not fit on the racks`))
	is.True(strings.HasPrefix(stderr, file+":"))
	is.Equal(strings.Count(stderr, "\n"), 4) // one line for each guarantee that is short
}

func TestUsageErrors(t *testing.T) {
	for name, args := range map[string][]string{
		"unknown command": {"nothing"},
		"unknown flag":    {"check", "-nothing"},
		"missing operand": {"explain"},
		"missing file":    {"check"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status, _, stderr := runCommand(args...)
			is.Equal(status, exitUsage)
			is.True(stderr != "")
		})
	}
}

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

// TestRecordedTraceReplays records an entry's decisions under load, during which an
// agent is killed. A replay must make the same decisions.
func TestRecordedTraceReplays(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"}, traceCalls: 100_000,
		overlay: "[guarantee a small]\ncount = 4\n"})
	l := f.startLoad(6, "check", "5ms")
	time.Sleep(300 * time.Millisecond)
	f.agents[1].kill()
	time.Sleep(700 * time.Millisecond)
	l.finish(t)
	f.agents[1].start()
	f.waitReady()
	is.Equal(f.request(0, "a", "train", "", `{}`).outcome, "ran")
	f.entries[0].signal(syscall.SIGTERM)
	is.Equal(f.entries[0].wait(), 0)
	key := f.savedTraceKey("entry-0")
	settings, _, _ := f.operatorFiles("operator", "")
	status, stdout, stderr := runCommand("replay", "-settings", settings, "-object", key)
	is.Equal(stderr, "")
	is.Equal(status, exitOK)
	is.True(strings.Contains(stdout, "the same decisions"))
	t.Log(strings.TrimSpace(stdout))
}

// savedTraceKey returns the object key of the trace that an entry saved, as found in
// its log.
func (f *fleet) savedTraceKey(entry string) string {
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

// TestExampleTracesMeetOutcomes replays the example traces, which must meet their
// stated outcomes.
func TestExampleTracesMeetOutcomes(t *testing.T) {
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

// TestExampleConfigurationsAreValid runs check on the example configurations.
func TestExampleConfigurationsAreValid(t *testing.T) {
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

// TestCheckReportsInfeasibleGuarantees raises a guarantee beyond the capacity of the
// racks.
func TestCheckReportsInfeasibleGuarantees(t *testing.T) {
	is := is.New(t)
	text := readFile(t, "../../examples/puhkekapsel.ini")
	text = strings.Replace(text, "[guarantee training rack]\ncount = 1", "[guarantee training rack]\ncount = 4", 1)
	file := filepath.Join(t.TempDir(), "overlay.ini")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	status, _, stderr := runCommand("check", "-base", "../../examples/base.ini", "-overlay", file)
	is.Equal(status, exitFailure)
	is.True(strings.Contains(stderr, `guarantee training rack.count: 1 of the shapes "rack" do not fit on the racks`))
	is.True(strings.HasPrefix(stderr, file+":"))
	is.Equal(strings.Count(stderr, "\n"), 4) // one line for each guarantee that does not fit
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

package operator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestDrainZone evacuates the only zone of the local system by the operators' commands
// and returns it to service. It guards against a command whose row the scheduler does
// not follow, against a job that starts in the zone, and against one that is lost there.
func TestDrainZone(t *testing.T) {
	is := is.New(t)
	l := startTestLocal(t)
	file := filepath.Join(t.TempDir(), "operator.ini")
	text := fmt.Sprintf("[store]\naddress = %s\n[operator]\nentry = %s\ntoken = %s\n", l.store.addr, l.entry.web.addr, localToken)
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	command := func(args ...string) (status int, stdout string) {
		var out, errs bytes.Buffer
		env := Env{Args: append([]string{"bramleythread"}, args...), Getenv: func(string) string { return "" }, Stdout: &out, Stderr: &errs}
		status = Main(env)
		return status, out.String()
	}
	pool := func() string {
		_, out := command("status", "-entry", l.entry.web.addr.String())
		return out
	}
	await := func(holds func() bool) {
		t.Helper()
		for end := time.Now().Add(time.Minute); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(pool())
			}
		}
	}

	for name, args := range map[string][]string{
		"zone and worker":     {"drain", "-settings", file, "-zone", "loopback", "worker-1"},
		"neither":             {"drain", "-settings", file},
		"cancel for a worker": {"drain", "-settings", file, "-cancel", "worker-1"},
	} {
		t.Run(name, func(t *testing.T) {
			status, _ := command(args...)
			is.Equal(status, exitUsage)
		})
	}

	status, _ := command("drain", "-settings", file, "-zone", "loopback")
	is.Equal(status, exitOK)
	await(func() bool { return strings.Contains(pool(), "zone loopback is evacuated") })
	url := "http://" + l.entry.web.addr.String() + localJobPath + "waits"
	_, err := callJobAPI(context.Background(), http.MethodPost, url, sampleJob)
	is.NoErr(err)
	await(func() bool {
		_, out := command("explain", "-entry", l.entry.web.addr.String(), "waits")
		return strings.Contains(out, "no_worker")
	})
	state, err := callJobAPI(context.Background(), http.MethodGet, url, "")
	is.NoErr(err)
	is.Equal(state, wire.JobQueued)

	status, _ = command("drain", "-settings", file, "-zone", "loopback", "-cancel")
	is.Equal(status, exitOK)
	await(func() bool {
		state, err := callJobAPI(context.Background(), http.MethodGet, url, "")
		return err == nil && state == wire.JobCompleted
	})
	is.True(strings.Contains(pool(), "0 zones evacuated"))
}

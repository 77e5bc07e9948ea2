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
	address := l.entry.web.addr.String()
	command := func(args ...string) (status int, stdout string) {
		var out bytes.Buffer
		status = Main(Env{Args: append([]string{"bramleythread"}, args...), Getenv: func(string) string { return "" }, Stdout: &out, Stderr: &out})
		return status, out.String()
	}
	drain := func(want int, args ...string) {
		t.Helper()
		status, _ := command(append([]string{"drain", "-settings", file}, args...)...)
		is.Equal(status, want)
	}
	await := func(text string, args ...string) {
		t.Helper()
		for end := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
			_, out := command(append(args, "-entry", address)...)
			if strings.Contains(out, text) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("no %q in %s", text, out)
			}
		}
	}
	drain(exitUsage, "-zone", "loopback", "worker-1")
	drain(exitUsage, "-cancel", "worker-1")
	drain(exitUsage)
	drain(exitOK, "-zone", "loopback")
	await("zone loopback is evacuated", "status")
	_, err := callJobAPI(context.Background(), http.MethodPost, "http://"+address+localJobPath+"first", sampleJob)
	is.NoErr(err)
	await("1 stages wait", "status")
	drain(exitOK, "-zone", "loopback", "-cancel")
	state, err := l.runSampleJob() // the same job
	is.NoErr(err)
	is.Equal(state, wire.JobCompleted)
	await("0 zones evacuated", "status")
}

package operator

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"bramleythread/io/limits/clientload"
)

// TestOwnInterfaceStaysWithinLimits guards against entries and agents of the project's
// own interface that exceed the memory of their VM or run out of descriptors. The
// limits are lowered, and the memory is bounded by three quarters of the VM's.
func TestOwnInterfaceStaysWithinLimits(t *testing.T) {
	const (
		clients   = 300
		others    = 60
		maxMemory = 96 << 20 * 3 / 4
		maxFiles  = 500
	)
	loads := clientload.Loads(256<<10, 2000)
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a", "b"},
				overlay: "[limits]\nrequest_body = 256KiB\n", limits: "[limits]\nmemory = 96MiB\nfiles = 500\n"})
			var c clientload.Clients
			defer c.Close()
			open := func(child *child, n int, method, path string) {
				r := clientload.Request{Method: method, Path: path, Headers: "Authorization: Bearer a\r\n"}
				c.Open(child.http.String(), n, func(w io.Writer) error { return loads[name](w, r) })
			}
			open(f.entries[0], clients, http.MethodPost, "/v1/services/check/requests")
			for _, path := range []string{"/nowhere", "/readyz", "/metrics"} {
				open(f.entries[0], others, http.MethodPost, path)
				open(f.agents[0], others, http.MethodPost, path)
			}
			c.Wait()
			f.waitFor("an ordinary request is answered", readyTimeout, func() bool {
				return call(http.MethodPost, f.entries[0].http, "b", "/v1/services/check/requests", "", `{}`).outcome == "ran"
			})
			for _, child := range []*child{f.entries[0], f.agents[0]} {
				pid := child.cmd.Process.Pid
				peak, err := clientload.PeakResident(pid)
				is.NoErr(err)
				files, err := clientload.Descriptors(pid)
				is.NoErr(err)
				t.Logf("%s: peak %d MB, %d descriptors", child.role, peak>>20, files)
				is.True(peak <= maxMemory)
				is.True(files < maxFiles)
			}
		})
	}
}

package operator

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// TestLocalSystemLeaksNoGoroutines starts, uses and stops the local system, and
// fails if a goroutine outlives it.
func TestLocalSystemLeaksNoGoroutines(t *testing.T) {
	is := is.New(t)
	ignore := goleak.IgnoreCurrent()
	l, err := startLocal(netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop())
	is.NoErr(err)
	for i := range 20 {
		is.Equal(l.post("podcheck", fmt.Sprint("k", i), `{}`).outcome, "ran")
		is.Equal(l.post("berthplan", "", `{}`).outcome, "ran")
	}
	l.kill()
	goleak.VerifyNone(t, ignore)
}

// maxResidentBytes is the memory that an entry or an agent may use on its node.
const maxResidentBytes = 128 << 20

// residentBytes returns the resident memory of the child's process.
func (c *child) residentBytes() int {
	c.t.Helper()
	for line := range strings.Lines(readFile(c.t, fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				c.t.Fatal(err)
			}
			return kb << 10
		}
	}
	c.t.Fatal("no resident memory in /proc")
	return 0
}

// TestOverloadIsRefusedWithinMemoryLimit sends more than the system accepts:
// queued requests, keys, cancellations, large bodies and slow callers. The excess
// must be refused early and memory must stay within maxResidentBytes.
func TestOverloadIsRefusedWithinMemoryLimit(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a", "b"},
		overlay: "[limits]\nqueue_length = 500\ncustomer_queue = 400\nrequest_body = 16KiB\n"})
	addr := f.entries[0].http
	body := `{"run_for":"3s","fill":"` + strings.Repeat("x", 8<<10) + `"}`
	statuses := make(map[int]int)
	for i := range 1500 {
		r := call(http.MethodPost, addr, "a", "/v1/services/check/requests", fmt.Sprint("flood-", i), body, "respond-async")
		statuses[r.status]++
		if i%3 == 0 && r.status == http.StatusAccepted {
			call(http.MethodDelete, addr, "a", "/v1/requests/"+r.request, "", "")
		}
	}
	is.True(statuses[http.StatusTooManyRequests] > 0) // the customer's queue is full
	is.True(statuses[http.StatusAccepted] >= 400)
	t.Logf("statuses %v", statuses)
	other := call(http.MethodPost, addr, "b", "/v1/services/check/requests", "", `{}`, "respond-async")
	is.Equal(other.status, http.StatusAccepted) // another customer's request is accepted
	large := call(http.MethodPost, addr, "b", "/v1/services/check/requests", "", strings.Repeat("x", 17<<10))
	is.Equal(large.status, http.StatusRequestEntityTooLarge)
	f.openSlowCallers(200)
	for _, c := range append(append([]*child{}, f.entries...), f.agents...) {
		t.Logf("%s uses %d MB", c.role, c.residentBytes()>>20)
		is.True(c.residentBytes() <= maxResidentBytes)
	}
}

// openSlowCallers opens connections that send only part of a request.
func (f *fleet) openSlowCallers(n int) {
	f.t.Helper()
	for range n {
		c, err := net.Dial("tcp", f.entries[0].http.String())
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write([]byte("POST /v1/services/check/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer b\r\nContent-Length: 100\r\n\r\nhalf"))
	}
}

// TestRetriesDoNotMultiplyLoad has most tasks fail. Retries must not make the
// upstreams start more than 1.2 times the requests that the callers sent.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 1, workers: 3, customers: []string{"a"}, errorRate: 0.7})
	const sent = 600
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range sent / 4 {
				f.request(0, "a", "check", fmt.Sprintf("b-%d-%d", c, i), `{}`)
			}
		}()
	}
	wg.Wait()
	started := len(f.executions())
	t.Logf("%d sent, %d started", sent, started)
	is.True(started >= sent)
	is.True(float64(started) <= 1.2*sent)
}

// TestOneWayPartition drops what one entry sends to its agents but not what they
// send. Both sides must give up the connections, and both entries must serve
// callers once the network works again.
func TestOneWayPartition(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}, relayEntries: true})
	f.entryRelays[0].mode.Store(relayDropReplies)
	done := make(chan reply, 1)
	go func() { done <- f.request(0, "a", onceService, "k", `{}`) }()
	is.Equal(f.request(1, "a", "check", "", `{}`).outcome, "ran")
	f.waitFor("the entry has lost its agents", readyTimeout, func() bool {
		s, ok := f.status(0)
		usable := 0
		for _, w := range s.Workers {
			if w.Usable {
				usable++
			}
		}
		return ok && usable == 0
	})
	f.entryRelays[0].mode.Store(relayOpen)
	f.waitReady()
	r := <-done
	is.NoErr(r.err)
	is.True(r.outcome == "ran" || r.outcome == "unknown")
	is.Equal(f.request(0, "a", onceService, "k", `{}`).outcome, "ran")
	f.verify()
	is.Equal(len(f.executions()), 2)
}

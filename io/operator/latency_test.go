package operator

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const requestsPerSecond = 500

// BenchmarkLatency sends requests at a steady rate directly to an upstream,
// through the local system and through separate processes, all in one run, and
// reports the added latency. Run it with -benchtime 5000x.
func BenchmarkLatency(b *testing.B) {
	l, err := startLocal(netip.MustParseAddrPort("127.0.0.1:0"), zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	defer l.kill()
	f := startFleet(b, fleetConfig{entries: 2, workers: 3, customers: []string{"a"}})
	direct := measureLatencies(b, func(i int) *http.Request {
		r := newRequest(l.upstreams[0].web.addr, fmt.Sprintf("/v1/tasks/direct-%d", i), "")
		r.Header.Set("Task-Lease", "10s")
		r.Header.Set("Task-Rank", "0")
		r.Header.Set("Task-Size", "1")
		return r
	})
	local := measureLatencies(b, func(i int) *http.Request {
		r := newRequest(l.entry.web.addr, "/v1/services/podcheck/requests", localToken)
		r.Header.Set("Idempotency-Key", fmt.Sprint("bench-", i))
		return r
	})
	processes := measureLatencies(b, func(int) *http.Request {
		return newRequest(f.entries[0].http, "/v1/services/check/requests", "a")
	})
	report := func(name string, p float64) {
		at := func(d []time.Duration) time.Duration { return d[min(int(p*float64(len(d))), len(d)-1)] }
		b.ReportMetric(float64(at(direct).Microseconds()), "direct-"+name+"-us")
		b.ReportMetric(float64((at(local) - at(direct)).Microseconds()), "local-added-"+name+"-us")
		b.ReportMetric(float64((at(processes) - at(direct)).Microseconds()), "processes-added-"+name+"-us")
	}
	report("p50", 0.50)
	report("p99", 0.99)
}

func newRequest(addr netip.AddrPort, path, token string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+path, strings.NewReader(`{"run_for":"1ms"}`))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+token)
	return r
}

// measureLatencies sends b.N requests at requestsPerSecond and returns their sorted
// latencies.
func measureLatencies(b *testing.B, buildRequest func(i int) *http.Request) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var latencies []time.Duration
	t := time.NewTicker(time.Second / requestsPerSecond)
	defer t.Stop()
	for i := range b.N {
		<-t.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			begun := time.Now()
			resp, err := client.Do(buildRequest(i))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(begun))
		}()
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}

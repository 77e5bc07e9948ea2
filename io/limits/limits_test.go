package limits

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// startServer serves h under the limits of a small VM and returns its URL.
func startServer(t *testing.T, l *Limiter, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := new(http.Server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Serve(s, ln, "test", WholeShare, h)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return "http://" + ln.Addr().String()
}

func newLimiter(r prometheus.Registerer) *Limiter {
	return New(Config{Memory: MinMemory, Files: MinFiles, Log: zerolog.Nop(), Registry: r})
}

// TestStatusOfRefusals guards against a refusal whose status does not tell that nothing
// was done, and against bytes that stay acquired afterwards.
func TestStatusOfRefusals(t *testing.T) {
	tests := map[string]struct {
		body   io.Reader // of unknown length unless it is a *strings.Reader
		header string
		status int
	}{
		"whole":             {body: strings.NewReader(`{"a":[1,2]}`), status: 200},
		"empty":             {body: strings.NewReader(""), status: 200},
		"in blocks":         {body: strings.NewReader(strings.Repeat(" ", 30_000)), status: 200},
		"in chunks":         {body: io.MultiReader(strings.NewReader(strings.Repeat(" ", 30_000))), status: 200},
		"of the limit":      {body: strings.NewReader(strings.Repeat(" ", 40_000)), status: 200},
		"over the limit":    {body: strings.NewReader(strings.Repeat(" ", 40_001)), status: 413},
		"chunks over it":    {body: io.MultiReader(strings.NewReader(strings.Repeat(" ", 40_001))), status: 413},
		"too many elements": {body: strings.NewReader("[" + strings.Repeat("{},", 11_000) + "{}]"), status: 400},
		"too deep":          {body: strings.NewReader(strings.Repeat("[", 33)), status: 400},
		"header too long":   {body: strings.NewReader("{}"), header: strings.Repeat("x", MaxHeader+8<<10), status: 431},
	}
	l := newLimiter(nil)
	url := startServer(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadDocument(w, r, Document{MaxSize: 40_000, ItemSize: 8}); err != nil {
			http.Error(w, err.Error(), Status(w, err))
		}
	}))
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.NewRequest(http.MethodPost, url, tt.body)
			is.NoErr(err)
			r.Header.Set("X", tt.header)
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, resp.Body)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, tt.status)
		})
	}
	for end := time.Now().Add(10 * time.Second); l.budget.inUse() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(l.budget.inUse(), 0.0)
}

// TestShortBudgetRefusesLargestAndSlowest guards against large, slow bodies that use up
// the budget at the cost of others.
func TestShortBudgetRefusesLargestAndSlowest(t *testing.T) {
	is := is.New(t)
	b := newBudget(16 << 10 * smallFraction)
	interrupted := make(map[string]bool)
	open := func(name string, age time.Duration, held int64) *lease {
		l := b.open()
		l.await(func() {
			interrupted[name] = true
			go l.close() // as the reader of the body does
		})
		l.started = l.started.Add(-age)
		is.True(l.grow(held))
		return l
	}
	slow := open("slow", time.Minute, 50<<10)
	fast := open("fast", time.Second, 50<<10)
	small := open("small", time.Hour, 1)
	fresh := b.open()
	fresh.await(func() {})
	is.True(fresh.grow(30 << 10))
	is.Equal(interrupted, map[string]bool{"slow": true})
	is.True(!slow.complete())
	is.True(!fast.grow(100 << 10)) // more than the budget has for large bodies
	is.True(fast.complete())
	late := b.open()
	late.await(func() {})
	is.True(late.grow(20 << 10))   // small enough for the reserve
	is.True(!fresh.grow(16 << 10)) // fresh is now the largest and slowest body
	for _, l := range []*lease{fast, small, fresh, late} {
		l.close()
	}
	is.Equal(b.inUse(), 0.0)
	is.True(!late.grow(1)) // closed
}

// TestConnectionLimits guards against a listener that no longer accepts while other
// clients hold its connections, in total or from one address.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	l := newLimiter(registry)
	url := startServer(t, l, http.NotFoundHandler())
	addr := strings.TrimPrefix(url, "http://")
	limit := int(peerFraction * float64(l.httpConns))
	for range 2 * limit {
		c, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	resp, err := http.Get(url)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	families, err := registry.Gather()
	is.NoErr(err)
	found := make(map[string]float64) // by metric and label
	for _, f := range families {
		for _, m := range f.Metric {
			found[f.GetName()+" "+m.Label[0].GetValue()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	is.True(found["bramleythread_limit_refused_total peer_connections"] > 0)
	is.True(found["bramleythread_limit_in_use connections_test"] <= float64(limit))
	is.Equal(found["bramleythread_limit_max connections_test"], float64(l.httpConns))
	is.Equal(found["bramleythread_limit_in_use body_bytes"], 0.0)
}

// TestRetainedBody guards against a budget that loses sight of bodies that are kept
// after their request was answered.
func TestRetainedBody(t *testing.T) {
	is := is.New(t)
	l := newLimiter(nil)
	releases := make(chan func(), 1)
	url := startServer(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(w, r, 100)
		is.NoErr(err)
		releases <- Retain(r)
	}))
	resp, err := http.Post(url, "", strings.NewReader("body"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	release := <-releases
	is.True(l.budget.inUse() > 0)
	release()
	is.Equal(l.budget.inUse(), 0.0)
}

// TestReadWithoutLimiter guards against handlers that work only behind a Limiter.
func TestReadWithoutLimiter(t *testing.T) {
	is := is.New(t)
	body, err := ReadDocument(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("[1]")), Document{MaxSize: 3})
	is.NoErr(err)
	is.Equal(string(body), "[1]")
	_, err = ReadBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("[1]")), 2)
	var tooLarge *http.MaxBytesError
	is.True(errors.As(err, &tooLarge))
}

// TestDescriptorsAddUp guards against listeners that together open more descriptors than
// the process has, so that calls to the store fail.
func TestDescriptorsAddUp(t *testing.T) {
	for name, tt := range map[string]struct {
		memory int64
		files  int
	}{
		"least":        {memory: MinMemory, files: MinFiles},
		"small":        {memory: 96 << 20, files: 500},
		"as on a site": {memory: 160 << 20, files: 4100},
		"large":        {memory: 16 << 30, files: 100_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(Config{Memory: tt.memory, Files: tt.files, Log: zerolog.Nop()})
			is.True(l.httpConns > 0 && l.FrameConns() > 0 && l.Handshakes() > 0)
			is.True(l.httpConns+l.FrameConns()+l.Handshakes()+reservedFiles <= tt.files)
		})
	}
}

// TestQueueOfProcessWithoutMemoryLimit guards against a default budget that refuses
// requests which the queue of a process has room for.
func TestQueueOfProcessWithoutMemoryLimit(t *testing.T) {
	is := is.New(t)
	l := New(Config{Files: MinFiles, Log: zerolog.Nop()})
	retained := 0
	url := startServer(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 1<<20); err == nil {
			Retain(r)
			retained++
		}
	}))
	for range 200 { // 200 MB of kept bodies; the default budget has 154 MB
		resp, err := http.Post(url, "", strings.NewReader(strings.Repeat(" ", 1<<20)))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(retained, 200)
}

package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bramleythread/core/config"
	"bramleythread/io/limits"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
)

// maxMetricsRequests limits the concurrent reads of the metrics, each of which
// buffers them all.
const maxMetricsRequests = 4

// webServer is an HTTP server with its listener.
type webServer struct {
	server    *http.Server
	addr      netip.AddrPort
	interrupt context.CancelFunc // ends the contexts of all requests
	newConns  newConns
	done      chan struct{} // closed when the server has stopped
}

// webConfig configures an HTTP listener.
type webConfig struct {
	addr    netip.AddrPort // the kernel chooses the port if it is 0
	handler http.Handler
	limiter *limits.Limiter
	name    string // in the metrics
	share   limits.Share
}

// serveHTTP listens and serves within the limits of a process.
func serveHTTP(cfg webConfig) (*webServer, error) {
	l, bound, err := listen(cfg.addr)
	if err != nil {
		return nil, err
	}
	ctx, interrupt := context.WithCancel(context.Background())
	w := &webServer{
		addr:      bound,
		interrupt: interrupt,
		done:      make(chan struct{}),
	}
	w.server = &http.Server{BaseContext: func(net.Listener) context.Context { return ctx }, ConnState: w.newConns.update}
	go func() {
		defer close(w.done)
		defer interrupt()
		_ = cfg.limiter.Serve(w.server, l, cfg.name, cfg.share, cfg.handler)
	}()
	return w, nil
}

// maxStandinBody is the maximum size of a request to a stand-in in bytes.
const maxStandinBody = 32 << 20

// serveStandin serves a stand-in with the default limits.
func serveStandin(addr netip.AddrPort, h http.Handler) (*webServer, error) {
	return serveHTTP(webConfig{
		addr: addr, handler: limits.Buffered(h, maxStandinBody), limiter: limits.New(limits.Config{Log: zerolog.Nop()}),
		name: "http", share: limits.WholeShare,
	})
}

// answerTime is the part of a shutdown's limit that is left for requests in flight
// to be answered after their contexts have ended.
const answerTime = 300 * time.Millisecond

// maxFirstRequestWait bounds the wait of a shutdown for the first requests of new
// connections: a client that has connected sends its request within some round trips.
const maxFirstRequestWait = time.Second

// shutdown waits for the requests in flight. Shortly before the limit it ends their
// contexts, so that they are answered, and at the limit it closes their connections.
// A new connection whose request is still arriving is waited for first, since
// [http.Server.Shutdown] drops requests that it reads once it has begun.
func (w *webServer) shutdown(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	t := time.AfterFunc(limit-min(answerTime, limit/2), w.interrupt)
	defer t.Stop()
	w.newConns.wait(min(maxFirstRequestWait, limit/3))
	if err := w.server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = w.server.Close()
	}
	<-w.done
}

// newRegistry returns a metrics registry with the Go runtime and process metrics.
func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// newMux returns a mux with the metrics, health and readiness paths, which every
// process serves.
func newMux(r *prometheus.Registry, ready func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// listen listens on addr and returns the address with the port that was bound.
func listen(addr netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// listenControl listens for control connections. It returns the address that
// was bound and the one to advertise to other processes.
func listenControl(s *config.Settings) (l net.Listener, bound, advertise netip.AddrPort, err error) {
	l, bound, err = listen(s.Control)
	advertise = s.Advertise
	if err == nil && advertise.Port() == 0 {
		advertise = netip.AddrPortFrom(advertise.Addr(), bound.Port())
	}
	return l, bound, advertise, err
}

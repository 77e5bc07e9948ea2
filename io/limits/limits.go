// Package limits bounds what clients outside the project's control can take of a
// process: memory for request bodies and headers, connections and time.
//
// One Limiter serves all HTTP listeners of a process. docs/design/client-limits.md
// describes the design.
package limits

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"bramleythread/io/frame"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// defaultMemory is the memory in bytes of a process whose settings name none.
const defaultMemory = 1 << 30

// Smallest limits of a process. Smaller ones are raised to them.
const (
	MinMemory = 64 << 20 // bytes
	MinFiles  = 264      // descriptors
)

// How a process divides its VM's memory and its descriptors. Three quarters of the
// memory is the bound of the whole process. The program's code and its own state
// take about 30 MB, and the garbage collector needs as much again as is in use.
const (
	memoryFraction    = 0.6  // for the Go runtime; the program's code comes on top
	bodyFraction      = 0.15 // of the memory, for bodies, their decoding and long headers
	connFraction      = 0.15 // of the memory, for connections
	connCost          = 24 << 10
	reservedFiles     = 200   // descriptors for files, the store's connections and standard streams
	handshakeFraction = 0.125 // of the other descriptors, for handshakes on the frame port
	httpFileFraction  = 0.75  // of those left, at most; the rest is for links on the frame port
	maxConns          = 4096
	maxFiles          = 1 << 20 // where the system sets no limit
)

// Timeouts of a connection. A connection that makes no progress is closed.
const (
	headerTimeout = 5 * time.Second
	stallTimeout  = 10 * time.Second // between two reads of a body
	bodyTimeout   = time.Minute      // for the whole body
	idleTimeout   = time.Minute
	writeTimeout  = 30 * time.Second // for one write of a response

	// MaxHeader is the maximum size of a request's header in bytes.
	MaxHeader = 64 << 10
)

// Config configures a Limiter.
type Config struct {
	Memory   int64 // of the VM, in bytes; 0 means defaultMemory
	Files    int   // maximum number of open descriptors; 0 means the limit of the process
	Log      zerolog.Logger
	Registry prometheus.Registerer // receives the metrics; nil for none
}

// Limiter decides on the admission of all clients of one process.
type Limiter struct {
	budget     *budget
	retains    bool // kept bodies count
	refusals   *refusals
	metrics    *metrics
	httpConns  int
	peerConns  int
	handshakes int
}

// New returns the Limiter of a process.
func New(cfg Config) *Limiter {
	retains := cfg.Memory > 0
	if !retains {
		cfg.Memory = defaultMemory
	}
	if cfg.Files <= 0 {
		cfg.Files = fileLimit()
	}
	memory, files := max(cfg.Memory, MinMemory), max(cfg.Files, MinFiles)-reservedFiles
	handshakes := min(frame.MaxHandshakes, int(handshakeFraction*float64(files)))
	files -= handshakes
	httpConns := min(maxConns, int(connFraction*float64(memory)/connCost), int(httpFileFraction*float64(files)))
	l := &Limiter{
		budget:     newBudget(int64(bodyFraction * float64(memory))),
		retains:    retains,
		httpConns:  httpConns,
		peerConns:  files - httpConns,
		handshakes: handshakes,
	}
	l.metrics = newMetrics(cfg.Registry)
	l.refusals = newRefusals(cfg.Log, l.metrics)
	l.metrics.addLimit("body_bytes", l.budget.total, l.budget.inUse)
	return l
}

// fileLimit returns the maximum number of open descriptors of this process.
func fileLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return MinFiles
	}
	return int(min(limit.Cur, maxFiles))
}

// RuntimeMemory returns the memory limit of the Go runtime on a VM with the given
// memory.
func RuntimeMemory(memory int64) int64 { return int64(memoryFraction * float64(memory)) }

// FrameConns returns the number of connections of the frame port that fit into the
// descriptors.
func (l *Limiter) FrameConns() int { return l.peerConns }

// Handshakes returns the number of connections of the frame port that may be in their
// handshake, beside FrameConns.
func (l *Limiter) Handshakes() int { return l.handshakes }

// Refused counts a refusal by another package, such as a frame listener.
func (l *Limiter) Refused(cause string) { l.refusals.add(cause) }

// Share is the fraction of a process's HTTP connections that one listener may have.
type Share float64

// Shares of the listeners. Those of a process add up to 1.
const (
	WholeShare    Share = 1
	ClientShare   Share = 0.8 // callers, or the worker of an agent
	ReservedShare Share = 0.1 // readiness, and the operators' listener
)

// Serve serves h on ln until the server is closed. It returns what
// [http.Server.Serve] returns.
func (l *Limiter) Serve(s *http.Server, ln net.Listener, name string, share Share, h http.Handler) error {
	bounded := l.newListener(ln, name, share)
	s.Handler = l.handler(h)
	s.ReadHeaderTimeout = headerTimeout
	s.ReadTimeout = stallTimeout // extended as the body arrives
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = MaxHeader
	onState := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		connStateChanged(c, state)
		if onState != nil {
			onState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return s.Serve(bounded)
}

// handler wraps h. A connection whose request's body was not read whole is closed
// after the response, so that the rest of the body is neither read nor awaited.
func (l *Limiter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.setPhase(phaseServing)
		defer c.endRequest()
		if c.unread = r.ContentLength != 0; c.unread {
			w.Header().Set("Connection", "close")
			defer c.abandonBody()
		}
		if !c.completeHeader() {
			http.Error(w, (&OverloadError{}).Error(), Status(w, &OverloadError{RetryAfter: retryAfter}))
			return
		}
		h.ServeHTTP(w, r)
	})
}

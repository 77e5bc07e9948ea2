package frame

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept
	handshakePoll    = 5 * time.Millisecond  // for the end of a handshake
)

const (
	// MaxHandshakes limits the connections that have not passed the handshake, unless
	// Config.MaxHandshakes is lower. It is separate from the limit of the others, so
	// that strangers cannot use it up.
	MaxHandshakes = 256

	// handshakeGrace is the time that each handshake gets even if the limit is
	// reached. When many peers reconnect at once, the others wait to be accepted.
	handshakeGrace = 100 * time.Millisecond
)

// Serve accepts connections on l until it is closed. At most maxConns that have passed
// the handshake are open; further ones are closed at once. Beyond the limit of handshakes, the
// oldest handshake is ended in favor of a new one. Serve calls
// onAccept for each connection that passes the handshake. When the listener is closed,
// Serve closes its connections and returns once they have ended.
func Serve(l net.Listener, maxConns int, cfg Config, onAccept func(c *Conn)) {
	s := &server{cfg: cfg, maxConns: maxConns, conns: make(map[*Conn]struct{})}
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.addHandshake(nc)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveConn(nc, onAccept)
		}()
	}
	s.closeAll()
	s.wg.Wait()
}

// server tracks the accepted connections of one listener.
type server struct {
	cfg      Config
	maxConns int
	wg       sync.WaitGroup

	mu         sync.Mutex
	handshakes []handshake // oldest first
	conns      map[*Conn]struct{}
	closed     bool
}

// handshake is a connection that has not passed its handshake.
type handshake struct {
	net.Conn
	started time.Time
}

// addHandshake adds a connection that begins its handshake. If there are too many, it
// waits until one has ended or the oldest has had handshakeGrace.
func (s *server) addHandshake(nc net.Conn) {
	for !s.tryAddHandshake(nc) {
		time.Sleep(handshakePoll)
	}
}

func (s *server) tryAddHandshake(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.handshakes) >= min(cmp.Or(s.cfg.MaxHandshakes, MaxHandshakes), MaxHandshakes) {
		if now.Sub(s.handshakes[0].started) < handshakeGrace {
			return false
		}
		_ = s.handshakes[0].Close()
		s.handshakes = slices.Delete(s.handshakes, 0, 1)
		s.refused("handshakes")
	}
	s.handshakes = append(s.handshakes, handshake{nc, now})
	return true
}

func (s *server) removeHandshake(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes = slices.DeleteFunc(s.handshakes, func(h handshake) bool { return h.Conn == nc })
}

func (s *server) refused(cause string) {
	if s.cfg.OnRefused != nil {
		s.cfg.OnRefused(cause)
	}
}

func (s *server) serveConn(nc net.Conn, onAccept func(c *Conn)) {
	c, err := Accept(nc, s.cfg)
	s.removeHandshake(nc)
	if err != nil {
		return
	}
	if !s.add(c) {
		c.Close()
	} else {
		onAccept(c)
	}
	<-c.Done()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.maxConns {
		s.refused("frame_connections")
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	for _, h := range s.handshakes {
		_ = h.Close()
	}
}

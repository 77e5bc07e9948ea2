package frame

import (
	"errors"
	"net"
	"sync"
	"time"
)

const acceptPause = 20 * time.Millisecond // after a failed accept

// Serve accepts connections on l until it is closed, at most limit at a time.
// accepted is called for each peer that passes the handshake. When the
// listener is closed, Serve closes its connections and returns once they have
// ended.
func Serve(l net.Listener, limit int, cfg Config, accepted func(c *Conn)) {
	s := &server{conns: make(map[*Conn]struct{})}
	slots := make(chan struct{}, limit)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer func() { <-slots }()
			s.serve(nc, cfg, accepted)
		}()
	}
	s.closeAll()
	s.wg.Wait()
}

// server keeps the accepted connections of one listener.
type server struct {
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

func (s *server) serve(nc net.Conn, cfg Config, accepted func(c *Conn)) {
	c, err := Accept(nc, cfg)
	if err != nil {
		return
	}
	if !s.add(c) {
		c.Close()
	} else {
		accepted(c)
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
}

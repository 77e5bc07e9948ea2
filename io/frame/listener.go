package frame

import (
	"errors"
	"net"
	"sync"
	"time"
)

const acceptRetryDelay = 20 * time.Millisecond // after a failed accept

// Serve accepts connections on l until it is closed, at most maxConns at a time;
// further ones are closed at once. It calls onAccept for each connection that
// passes the handshake. When the listener is closed, Serve closes its
// connections and returns once they have ended.
func Serve(l net.Listener, maxConns int, cfg Config, onAccept func(c *Conn)) {
	s := &server{conns: make(map[*Conn]struct{})}
	semaphore := make(chan struct{}, maxConns)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case semaphore <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer func() { <-semaphore }()
			s.serveConn(nc, cfg, onAccept)
		}()
	}
	s.closeAll()
	s.wg.Wait()
}

// server tracks the accepted connections of one listener.
type server struct {
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

func (s *server) serveConn(nc net.Conn, cfg Config, onAccept func(c *Conn)) {
	c, err := Accept(nc, cfg)
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

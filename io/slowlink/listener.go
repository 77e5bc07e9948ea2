// Package slowlink is a stand-in for a network link of limited speed.
package slowlink

import (
	"net"
	"sync"
	"time"
)

// Listener limits the bytes that all its connections send together.
type Listener struct {
	net.Listener
	BitsPerSecond int

	mu     sync.Mutex
	freeAt time.Time // when the link has sent what it was given
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, link: l}, nil
}

type conn struct {
	net.Conn
	link *Listener
}

const packetSize = 16 << 10 // bytes that a connection sends before others have their turn

// Write sends b at the speed of the link.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		part := b[sent:min(sent+packetSize, len(b))]
		c.link.wait(len(part))
		n, err := c.Conn.Write(part)
		if sent += n; err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// wait returns when the link has sent n more bytes.
func (l *Listener) wait(n int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(8 * time.Second * time.Duration(n) / time.Duration(l.BitsPerSecond))
	at := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

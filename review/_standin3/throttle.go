package main

import (
	"net"
	"sync"
	"time"
)

// throttle is the link of one machine, which all its connections share.
type throttle struct {
	mbps int
	mu   sync.Mutex
	free time.Time // when the link has sent what it was given
}

// wait waits until n bytes have passed.
func (t *throttle) wait(n int) {
	t.mu.Lock()
	if now := time.Now(); t.free.Before(now) {
		t.free = now
	}
	t.free = t.free.Add(time.Duration(n) * 8 * time.Microsecond / time.Duration(t.mbps))
	until := t.free
	t.mu.Unlock()
	time.Sleep(time.Until(until))
}

// throttledListener accepts connections whose data towards the machine passes its link.
type throttledListener struct {
	net.Listener
	link *throttle
}

func (l *throttledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &throttledConn{Conn: c, link: l.link}, nil
}

type throttledConn struct {
	net.Conn
	link *throttle
}

// packet is the part of a write for which the link is taken at a time.
const packet = 16 << 10

func (c *throttledConn) Write(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		part := p[n:min(n+packet, len(p))]
		c.link.wait(len(part))
		m, err := c.Conn.Write(part)
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

package operator

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards connections to a process, until it is cut.
type relay struct {
	addr   netip.AddrPort
	l      net.Listener
	target netip.AddrPort
	mode   atomic.Int32
	mu     sync.Mutex
	conns  []net.Conn
}

// Modes of a relay. A cut link swallows what is sent; nobody is told.
const (
	relayOpen int32 = iota
	relayCut
	relayCutBack // only what the target sends is swallowed
)

func newRelay(t testing.TB, target netip.AddrPort) *relay {
	t.Helper()
	l := newListener(t)
	r := &relay{addr: l.Addr().(*net.TCPAddr).AddrPort(), l: l, target: target}
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target.String())
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.pump(out, in, func() bool { return r.mode.Load() == relayCut })
		go r.pump(in, out, func() bool { return r.mode.Load() != relayOpen })
	}
}

func (r *relay) pump(dst, src net.Conn, swallow func() bool) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if swallow() {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// cutter forwards the connections to an upstream and cuts each answer off after
// cutAfter bytes.
type cutter struct {
	addr  netip.AddrPort
	count atomic.Int64
}

const cutAfter = 1024

func newCutter(t testing.TB, target netip.AddrPort) *cutter {
	t.Helper()
	l := newListener(t)
	t.Cleanup(func() { _ = l.Close() })
	c := &cutter{addr: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(in, target)
		}
	}()
	return c
}

func (c *cutter) serve(in net.Conn, target netip.AddrPort) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = io.Copy(out, in) }()
	if n, _ := io.CopyN(in, out, cutAfter); n == cutAfter {
		c.count.Add(1)
	}
}

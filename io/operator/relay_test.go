package operator

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections to a process. Its mode can be changed to simulate
// network failures.
type relay struct {
	addr   netip.AddrPort
	l      net.Listener
	target netip.AddrPort
	mode   atomic.Int32
	mu     sync.Mutex
	conns  []net.Conn
}

// Modes of a relay. Dropped data is discarded without closing the connection.
const (
	relayOpen int32 = iota
	relayDropBoth
	relayDropReplies // drops only what the target sends
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
		go r.forward(out, in, func() bool { return r.mode.Load() == relayDropBoth })
		go r.forward(in, out, func() bool { return r.mode.Load() != relayOpen })
	}
}

func (r *relay) forward(dst, src net.Conn, drop func() bool) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if drop() {
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

// truncatingProxy forwards connections to an upstream and truncates what it sends on
// each after truncateAfterBytes.
type truncatingProxy struct {
	addr  netip.AddrPort
	count atomic.Int64
}

const truncateAfterBytes = 1024

func newTruncatingProxy(t testing.TB, target netip.AddrPort) *truncatingProxy {
	t.Helper()
	l := newListener(t)
	t.Cleanup(func() { _ = l.Close() })
	p := &truncatingProxy{addr: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in, target)
		}
	}()
	return p
}

func (p *truncatingProxy) serve(in net.Conn, target netip.AddrPort) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = io.Copy(out, in) }()
	if n, _ := io.CopyN(in, out, truncateAfterBytes); n == truncateAfterBytes {
		p.count.Add(1)
	}
}

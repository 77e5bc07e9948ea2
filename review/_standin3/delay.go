package main

import (
	"net"
	"net/netip"
	"time"

	"bramleythread/io/wire"
)

// zoneDelay is the time that data takes between two zones, one way.
const zoneDelay = 5400 * time.Microsecond

// delayProxy forwards connections to an address in another zone.
func delayProxy(listen, target string, mbps int) {
	l, err := net.Listen("tcp", listen)
	check(err)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.DialTimeout("tcp", target, time.Second)
				if err != nil {
					_ = in.(*net.TCPConn).SetLinger(0)
					_ = in.Close()
					return
				}
				go delayed(out, in, mbps)
				delayed(in, out, mbps)
			}()
		}
	}()
}

type chunk struct {
	at   time.Time
	data []byte
}

// delayed copies what src sends to dst, each part zoneDelay later, at the given
// bandwidth.
func delayed(dst, src net.Conn, mbps int) {
	chunks := make(chan chunk, 2+mbps/8) // the window of the link
	sent := time.Now()
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := src.Read(buf)
			if n > 0 {
				if now := time.Now(); sent.Before(now) {
					sent = now
				}
				sent = sent.Add(time.Duration(n) * 8 * time.Microsecond / time.Duration(mbps))
				chunks <- chunk{sent.Add(zoneDelay), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at))
		if _, err := dst.Write(c.data); err != nil {
			break
		}
	}
	_ = dst.Close()
	_ = src.Close()
}

// fromOtherZone returns a row as a process in another zone than its writer reads it: the
// scheduler's lease names the address of the holder's delayProxy.
func (s *system) fromOtherZone(r row) row {
	var l wire.SchedulerLease
	if r.Table != "scheduler" || r.Tombstone {
		return r
	}
	if _, err := l.UnmarshalMsg(r.Value); err != nil {
		return r
	}
	l.Address = netip.AddrPortFrom(l.Address.Addr(), uint16(s.port+11))
	value, err := l.MarshalMsg(nil)
	check(err)
	r.Value = value
	return r
}

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
func delayProxy(listen, target string) {
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
				go delayed(out, in)
				delayed(in, out)
			}()
		}
	}()
}

type chunk struct {
	at   time.Time
	data []byte
}

// delayed copies what src sends to dst, each part zoneDelay later.
func delayed(dst, src net.Conn) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- chunk{time.Now().Add(zoneDelay), buf[:n]}
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

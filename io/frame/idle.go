package frame

import (
	"net"
	"time"
)

// idleReader reads from a connection and fails if nothing arrives for a time. The time
// that a frame takes depends on its size and on the link, and has no limit.
type idleReader struct {
	nc      net.Conn
	timeout time.Duration
}

// Read reads what has arrived, and waits for it if need be.
func (r *idleReader) Read(b []byte) (int, error) {
	if err := r.nc.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	return r.nc.Read(b)
}

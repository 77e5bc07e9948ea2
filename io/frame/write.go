package frame

import (
	"errors"
	"os"
	"time"

	"bramleythread/io/wire"
)

func (c *Conn) writeMessage(m wire.Message, id uint64, flags byte) error {
	if n := m.Msgsize(); n > MaxBodySize {
		return &LimitError{Quantity: "message size", Value: n, Limit: MaxBodySize}
	}
	err := c.writeFrame(m.Kind(), flags, id, m)
	if err != nil {
		c.closeWith(err)
	}
	return err
}

func (c *Conn) writeFrame(k wire.Kind, flags byte, id uint64, m wire.Message) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if cause := c.closeCause(); cause != nil {
		return &ClosedError{Peer: c.peer.Name, Cause: cause}
	}
	var err error
	c.writeBuf, err = appendFrame(c.writeBuf[:0], k, flags, id, m)
	if err != nil {
		return err
	}
	err = c.writeAll(c.writeBuf)
	if cap(c.writeBuf) > maxReusedBuffer {
		c.writeBuf = nil
	}
	if err != nil {
		return &ClosedError{Peer: c.peer.Name, Sent: true, Cause: err}
	}
	return nil
}

// writeAll writes b. It fails if the peer takes nothing for WriteTimeout.
func (c *Conn) writeAll(b []byte) error {
	for len(b) > 0 {
		now := time.Now()
		_ = c.nc.SetWriteDeadline(now.Add(WriteTimeout))
		c.lastWrite.Store(now.UnixNano())
		n, err := c.nc.Write(b[:min(len(b), writeStep)])
		b = b[n:]
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
	}
	return nil
}

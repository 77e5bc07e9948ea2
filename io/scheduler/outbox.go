package scheduler

import (
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/wire"
)

const (
	outboxSize         = 64 // messages
	outboxCloseTimeout = frame.KeepAliveInterval
)

// outbox sends the scheduler's messages on one connection in order. A peer on a slow
// link delays its own messages only, and not the decisions.
type outbox struct {
	conn  *frame.Conn
	queue chan wire.Message
}

func newOutbox(c *frame.Conn) *outbox {
	return &outbox{conn: c, queue: make(chan wire.Message, outboxSize)}
}

// add queues a message. It returns false if too many are waiting.
func (o *outbox) add(m wire.Message) bool {
	select {
	case o.queue <- m:
		return true
	default:
		return false
	}
}

// close closes the connection once the messages that wait have been sent, and at the
// latest after outboxCloseTimeout. No message may be added later.
func (o *outbox) close() {
	close(o.queue)
	time.AfterFunc(outboxCloseTimeout, o.conn.Close)
}

// run sends messages until the connection has ended. A message that is not sent closes
// the connection.
func (o *outbox) run() {
	for {
		select {
		case <-o.conn.Done():
			return
		case m, ok := <-o.queue:
			if !ok {
				o.conn.Close()
				return
			}
			_ = o.conn.Send(m)
		}
	}
}

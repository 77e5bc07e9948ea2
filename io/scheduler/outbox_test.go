package scheduler

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// stuckListener is a listener whose connections take nothing more once stuck is set.
type stuckListener struct {
	net.Listener
	stuck atomic.Bool
}

func (l *stuckListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stuckConn{Conn: c, l: l, closed: make(chan struct{})}, nil
}

type stuckConn struct {
	net.Conn
	l       *stuckListener
	closed  chan struct{}
	closing atomic.Bool
}

func (c *stuckConn) Write(b []byte) (int, error) {
	if !c.l.stuck.Load() {
		return c.Conn.Write(b)
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *stuckConn) Close() error {
	if c.closing.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}

// TestStuckLinkDelaysNoDecisions guards against a scheduler that waits for one of its
// peers, whose link takes nothing, before it decides for the others.
func TestStuckLinkDelaysNoDecisions(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &stuckListener{Listener: listener}
	c := startCandidateOn(t, l, store, nil)
	lease := waitLease(t, store, func(l wire.SchedulerLease) bool { return l.Epoch == 1 })
	dialAgent(t, lease) // the scheduler has read its tables, and accepts entries
	peer, err := frame.Dial(context.Background(), lease.Address, frame.Config{
		Local: wire.Hello{Role: wire.RoleEntry, Name: "entry-1"}, Key: lease.Key, IdleTimeout: time.Hour,
		Handle: func(context.Context, *frame.Conn, wire.Message) wire.Message { return nil },
	})
	is.NoErr(err)
	defer peer.Close()
	_, err = peer.Call(context.Background(), &wire.QueueQuery{Queue: "q"})
	is.NoErr(err)
	l.stuck.Store(true)
	waitLease(t, store, func(l wire.SchedulerLease) bool { return l.Sequence > lease.Sequence+5 }) // it goes on
	ctx, cancel := context.WithTimeout(context.Background(), linkTestTimeout)
	defer cancel()
	answer, err := c.Call(ctx, &wire.QueueQuery{Queue: "q"})
	is.NoErr(err)
	is.Equal(answer, &wire.QueueAnswer{})
	is.True(!peer.Closed())
}

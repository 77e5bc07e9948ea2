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
	"github.com/rs/zerolog"
)

// linkTestTimeout limits every wait of these tests.
const linkTestTimeout = 30 * time.Second

// peer is a scheduler that accepts connections until rejecting is set.
type peer struct {
	lease     wire.SchedulerLease
	rejecting atomic.Bool
	conns     chan *frame.Conn
}

func newPeer(t *testing.T, name string, epoch uint64) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &peer{conns: make(chan *frame.Conn, 1000)}
	p.lease = wire.SchedulerLease{Epoch: epoch, Holder: name, Address: l.Addr().(*net.TCPAddr).AddrPort(), Key: newKey()}
	go frame.Serve(l, maxLinks, frame.Config{
		Local: wire.Hello{Role: wire.RoleEntry, Name: name, Address: p.lease.Address}, Key: p.lease.Key,
		Handle: func(context.Context, *frame.Conn, wire.Message) wire.Message { return nil },
	}, func(c *frame.Conn) {
		if p.rejecting.Load() {
			c.Close()
			return
		}
		p.conns <- c
	})
	return p
}

// hold writes the peer's lease to the store.
func (p *peer) hold(t *testing.T, store platform.Store) {
	t.Helper()
	value, err := p.lease.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: leaseKey, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// next waits for a connection.
func (p *peer) next(t *testing.T) *frame.Conn {
	t.Helper()
	select {
	case c := <-p.conns:
		return c
	case <-time.After(linkTestTimeout):
		t.Fatalf("no connection to %s", p.lease.Holder)
		return nil
	}
}

// TestLinkMovesToNewHolder guards against a link that keeps dialing a former
// holder, which answers sooner than the store but rejects every connection.
func TestLinkMovesToNewHolder(t *testing.T) {
	tests := map[string]struct {
		delay    time.Duration // response time of the store
		offer    bool          // the former holder asks to be replaced
		reported bool          // the former holder reports its successor during an outage of the store
	}{
		"fast store":                          {},
		"slow store":                          {delay: 80 * time.Millisecond},
		"former holder offers the lease":      {delay: 80 * time.Millisecond, offer: true},
		"former holder reports its successor": {reported: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			standin := platform.NewStandin()
			former, next := newPeer(t, "former", 1), newPeer(t, "next", 2)
			former.hold(t, standin.Store())
			l := NewLink(LinkConfig{
				Local: wire.Hello{Role: wire.RoleAgent, Name: "agent"}, Store: standin.Store(), Log: zerolog.Nop(),
				Handle: func(context.Context, *frame.Conn, wire.Message) wire.Message { return nil },
			})
			ctx, cancel := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				l.Run(ctx, func(*frame.Conn) {})
			}()
			c := former.next(t)
			if tt.offer {
				is.NoErr(c.Send(&wire.LeaseOffer{Epoch: 1}))
			}
			former.rejecting.Store(true)
			next.hold(t, standin.Store())
			standin.SetFaults(platform.Faults{Delay: tt.delay})
			switch {
			case tt.reported:
				standin.SetFaults(platform.Faults{Outage: true})
				is.NoErr(c.Send(&wire.LeaseTaken{Lease: next.lease}))
			case !tt.offer:
				c.Close()
			}
			next.next(t)
			cancel()
			<-stopped
		})
	}
}

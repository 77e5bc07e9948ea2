package worker_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"bramleythread/io/scheduler"
	"bramleythread/io/slowlink"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// TestLargeOrdersOnSlowLink guards against a job that never starts because the orders to
// start its tasks take longer on a link of 10 Mbit/s than a message may, or than the
// permission to start lasts.
func TestLargeOrdersOnSlowLink(t *testing.T) {
	tests := map[string]time.Duration{
		"starts permitted without limit":    0,
		"starts permitted for a short time": 3 * time.Second,
	}
	for name, cancelLimit := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const count = 300
			s := newSystem(t, 0, 1)
			s.listen = func(l net.Listener) net.Listener {
				return &slowlink.Listener{Listener: l, BitsPerSecond: 10_000_000}
			}
			s.startEntryWith(func(cfg *scheduler.Config) { cfg.CancelLimit = cancelLimit })
			s.submit("j", strings.Repeat("x", 4000), wire.JobStep{Count: count, Demand: wire.Resources{CPU: 20, Memory: 20}})
			s.waitState("j", wire.JobCompleted)
			is.Equal(len(s.starts()), count)
			is.Equal(s.linked.Load(), int64(1)) // connections of the agent
			for r, n := range s.starts() {
				is.True(r.Run == 1 && n == 1) // started once
			}
		})
	}
}

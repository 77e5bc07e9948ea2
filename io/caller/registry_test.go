package caller

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleythread/core/schedule"
	"bramleythread/io/platform"
)

func newTestEntry(t *testing.T, store platform.Store, peers ...netip.AddrPort) *Entry {
	t.Helper()
	e := New(Config{
		Peers:   peers,
		Name:    "test",
		Control: netip.MustParseAddrPort("127.0.0.1:1"),
		Store:   store,
		Log:     zerolog.Nop(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
		Policy:  schedule.DefaultPolicy(),
	})
	t.Cleanup(e.Close)
	return e
}

// TestSilentEntryStaysGone has the row of a dead entry stay in the table: it
// must not come back as new, and its row is deleted in the end.
func TestSilentEntryStaysGone(t *testing.T) {
	is := is.New(t)
	standin := platform.NewStandin()
	store := standin.Store()
	_, err := store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: registryPrefix + "127.0.0.2:1"}}})
	is.NoErr(err)
	e := newTestEntry(t, store)
	rows, err := store.Scan(context.Background(), registryPrefix)
	is.NoErr(err)
	now := clock()
	is.True(e.noteEntries(rows, now.Add(-time.Minute)))
	is.Equal(len(e.entries()), 1) // it has been silent for a minute
	is.True(!e.noteEntries(rows, now))
	is.Equal(len(e.entries()), 1)
	e.dropRows(context.Background(), rows, now)
	left, _ := store.Scan(context.Background(), registryPrefix)
	is.Equal(len(left), 1)
	e.dropRows(context.Background(), rows, now.Add(registryLifetime))
	left, _ = store.Scan(context.Background(), registryPrefix)
	is.Equal(len(left), 0)
}

func TestSeedsAreKnownFromTheStart(t *testing.T) {
	is := is.New(t)
	peer := netip.MustParseAddrPort("127.0.0.3:1")
	e := newTestEntry(t, platform.NewStandin().Store(), peer)
	is.Equal(e.entries()[1:], []netip.AddrPort{peer})
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b budget
	for range retryBurst {
		is.True(b.spend())
	}
	is.True(!b.spend())
	for range 10 {
		b.earn(20)
	}
	is.True(b.spend())
	is.True(b.spend())
	is.True(!b.spend())
}

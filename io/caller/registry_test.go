package caller

import (
	"context"
	"net/netip"
	"strings"
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

// TestExpiredEntryStaysGone checks that an unchanged row of a dead entry does not
// make it a new entry again, and that the row is deleted after registryLifetime.
func TestExpiredEntryStaysGone(t *testing.T) {
	is := is.New(t)
	standin := platform.NewStandin()
	store := standin.Store()
	_, err := store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: registryPrefix + "127.0.0.2:1"}}})
	is.NoErr(err)
	e := newTestEntry(t, store)
	rows, err := store.Scan(context.Background(), registryPrefix)
	is.NoErr(err)
	now := clock()
	is.True(e.updateEntries(rows, now.Add(-time.Minute)))
	is.Equal(len(e.liveEntries()), 1) // its row has not changed for a minute
	is.True(!e.updateEntries(rows, now))
	is.Equal(len(e.liveEntries()), 1)
	e.deleteExpiredRows(context.Background(), rows, now)
	left, _ := store.Scan(context.Background(), registryPrefix)
	is.Equal(len(left), 1)
	e.deleteExpiredRows(context.Background(), rows, now.Add(registryLifetime))
	left, _ = store.Scan(context.Background(), registryPrefix)
	is.Equal(len(left), 0)
}

// TestOddRegistryRowsAreSkipped guards against a row of another writer among those of
// the entries that hides the others or names an address that cannot be dialed.
func TestOddRegistryRowsAreSkipped(t *testing.T) {
	deep := strings.Repeat("[", 60<<10)
	tests := map[string]platform.Write{
		"port out of range":  {Key: registryPrefix + "127.0.0.9:70000"},
		"port too large":     {Key: registryPrefix + "127.0.0.9:99999999999999999999"},
		"no address":         {Key: registryPrefix + "other"},
		"empty":              {Key: registryPrefix},
		"very deeply nested": {Key: registryPrefix + "[[[[[]]]]]:1", Value: []byte(deep)},
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := platform.NewStandin().Store()
			e := newTestEntry(t, store)
			other := platform.Write{Key: registryPrefix + "127.0.0.8:1", Value: []byte(deep)} // only its key is read
			_, err := store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{odd, other}})
			is.NoErr(err)
			e.readRegistry()
			is.Equal(e.liveEntries()[1:], []netip.AddrPort{netip.MustParseAddrPort("127.0.0.8:1")})
		})
	}
}

func TestConfiguredPeersAreKnownFromTheStart(t *testing.T) {
	is := is.New(t)
	peer := netip.MustParseAddrPort("127.0.0.3:1")
	e := newTestEntry(t, platform.NewStandin().Store(), peer)
	is.Equal(e.liveEntries()[1:], []netip.AddrPort{peer})
}

// TestRetryBudget checks that retries are limited to the burst and to the deposited
// percentage of requests.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b retryBudget
	for range retryBurst {
		is.True(b.tryWithdraw())
	}
	is.True(!b.tryWithdraw())
	for range 10 {
		b.deposit(20)
	}
	is.True(b.tryWithdraw())
	is.True(b.tryWithdraw())
	is.True(!b.tryWithdraw())
}

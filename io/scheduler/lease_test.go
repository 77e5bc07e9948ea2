package scheduler

import (
	"bytes"
	"context"
	"errors"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/io/frame"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/tinylib/msgp/msgp"
)

func newWriter(store platform.Store, name string) *writer {
	return &writer{store: store, bootTime: platform.BootTime, lease: wire.SchedulerLease{Holder: name}}
}

func row(value string) changes {
	return changes{writes: []platform.Write{{Key: TableProgress + "/j", Value: []byte(value)}}}
}

func TestWriterWithLostLeaseChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := platform.NewStandin().Store()
	first, second := newWriter(store, "first"), newWriter(store, "second")
	is.NoErr(first.claim(ctx, wire.SchedulerLease{}, 0))
	is.NoErr(first.write(ctx, row("one")))

	lease, revision, err := readLease(ctx, store)
	is.NoErr(err)
	is.NoErr(second.claim(ctx, lease, revision))
	is.Equal(second.lease.Epoch, uint64(2))

	var lost *LeaseLostError
	is.True(errors.As(first.write(ctx, row("two")), &lost))
	is.Equal(lost.Holder, "second")
	got, err := store.Get(ctx, TableProgress+"/j")
	is.NoErr(err)
	is.Equal(string(got.Value), "one")
}

func TestSecondClaimOfSameRevisionFails(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := platform.NewStandin().Store()
	first, second := newWriter(store, "first"), newWriter(store, "second")
	is.NoErr(first.claim(ctx, wire.SchedulerLease{}, 0))
	var lost *LeaseLostError
	is.True(errors.As(second.claim(ctx, wire.SchedulerLease{}, 0), &lost))
}

func TestWriteSurvivesLostResponses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	standin := platform.NewStandin()
	w := newWriter(standin.Store(), "first")
	is.NoErr(w.claim(ctx, wire.SchedulerLease{}, 0))
	standin.SetFaults(platform.Faults{LostReplies: 2})
	is.NoErr(w.write(ctx, row("one")))
	is.NoErr(w.write(ctx, row("two")))
	got, err := standin.Store().Get(ctx, TableProgress+"/j")
	is.NoErr(err)
	is.Equal(string(got.Value), "two")
}

// TestDelayedTransactionIsNotAppliedAfterNext delays a transaction that got
// no response until after the next one. It must not change anything then.
func TestDelayedTransactionIsNotAppliedAfterNext(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	standin := platform.NewStandin()
	store := standin.Store()
	commit := store.Commit
	var late []platform.Txn
	lose := false
	store.Commit = func(ctx context.Context, t platform.Txn) (uint64, error) {
		if lose {
			lose = false
			late = append(late, t)
			return 0, &platform.UnavailableError{Op: "commit", MaybeApplied: true}
		}
		return commit(ctx, t)
	}
	w := newWriter(store, "first")
	is.NoErr(w.claim(ctx, wire.SchedulerLease{}, 0))
	lose = true
	is.NoErr(w.write(ctx, row("one"))) // the second attempt is applied
	is.NoErr(w.write(ctx, row("two")))
	var conflict *platform.ConflictError
	_, err := commit(ctx, late[0])
	is.True(errors.As(err, &conflict))
	got, err := store.Get(ctx, TableProgress+"/j")
	is.NoErr(err)
	is.Equal(string(got.Value), "two")
}

func TestInserts(t *testing.T) {
	ctx := context.Background()
	both := row("one")
	both.inserts = []platform.Write{{Key: TableJob + "/j", Value: []byte("new")}}
	tests := map[string]struct {
		prepare func(s *platform.Standin) platform.Store
		check   func(is *is.I, err error)
		written string // value of the job's row afterwards
	}{
		"a new row": {
			check:   func(is *is.I, err error) { is.NoErr(err) },
			written: "new",
		},
		"a new row with a lost response": {
			prepare: func(s *platform.Standin) platform.Store {
				s.SetFaults(platform.Faults{LostReplies: 1})
				return s.Store()
			},
			check:   func(is *is.I, err error) { is.NoErr(err) },
			written: "new",
		},
		"an existing row": {
			prepare: func(s *platform.Standin) platform.Store {
				_, _ = s.Store().Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: TableJob + "/j", Value: []byte("old")}}})
				return s.Store()
			},
			check: func(is *is.I, err error) {
				var exists *RowsExistError
				is.True(errors.As(err, &exists))
				is.Equal(len(exists.Rows), 1)
				is.Equal(exists.Rows[0].Key, TableJob+"/j")
			},
			written: "old",
		},
		"a store that rejects all calls": {
			prepare: func(s *platform.Standin) platform.Store {
				s.SetFaults(platform.Faults{Outage: true})
				return s.Store()
			},
			check: func(is *is.I, err error) {
				var rejected *WriteRejectedError
				is.True(errors.As(err, &rejected))
			},
		},
		"a store that may have applied the first attempt": {
			prepare: func(s *platform.Standin) platform.Store {
				store := s.Store()
				tries := 0
				commit := store.Commit
				store.Commit = func(ctx context.Context, t platform.Txn) (uint64, error) {
					if tries++; tries < 12 { // fails for longer than declineMin
						return 0, &platform.UnavailableError{Op: "commit", MaybeApplied: tries == 1}
					}
					return commit(ctx, t)
				}
				return store
			},
			check:   func(is *is.I, err error) { is.NoErr(err) },
			written: "new",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			standin := platform.NewStandin()
			w := newWriter(standin.Store(), "first")
			is.NoErr(w.claim(ctx, wire.SchedulerLease{}, 0))
			if tt.prepare != nil {
				w.store = tt.prepare(standin)
			}
			tt.check(is, w.write(ctx, both))
			standin.SetFaults(platform.Faults{})
			got, err := standin.Store().Get(ctx, TableJob+"/j")
			is.NoErr(err)
			is.Equal(string(got.Value), tt.written)
			progress, err := standin.Store().Get(ctx, TableProgress+"/j")
			is.NoErr(err)
			is.Equal(string(progress.Value) == "one", tt.written == "new") // both rows are written or neither
			is.NoErr(w.write(ctx, row("two")))                             // the writer remains usable
		})
	}
}

// TestTimeoutsScaleWithCommitDuration guards against giving up jobs or the
// lease only because the store is slow: the holder's timeouts follow the
// duration of its last commit.
func TestTimeoutsScaleWithCommitDuration(t *testing.T) {
	tests := map[string]struct {
		took    time.Duration
		decline time.Duration
		offer   time.Duration
	}{
		"nothing committed yet":    {decline: declineMin, offer: offerMin},
		"a store of usual speed":   {took: 12 * time.Millisecond, decline: declineMin, offer: offerMin},
		"a store 100 times slower": {took: 700 * time.Millisecond, decline: declineMax, offer: 2100 * time.Millisecond},
		"after an outage":          {took: 9 * time.Second, decline: declineMax, offer: offerMax},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &holder{commitDuration: tt.took}
			is.Equal(h.scaledTimeout(2, declineMin, declineMax), tt.decline)
			is.Equal(h.scaledTimeout(3, offerMin, offerMax), tt.offer)
		})
	}
}

// TestSuspendedHolderGrantsNothing suspends the holder's VM while it cannot commit.
// Its lease may have been taken by then, so a report must not extend the agent's
// permission to renew the worker's lease.
func TestSuspendedHolderGrantsNothing(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64 // time that the monotonic clock does not count
	var silent atomic.Bool
	store := platform.NewStandin().Store()
	blocked := store
	blocked.Commit = func(ctx context.Context, t platform.Txn) (uint64, error) {
		if silent.Load() {
			<-ctx.Done()
			return 0, &platform.UnavailableError{Op: "commit", MaybeApplied: true, Cause: ctx.Err()}
		}
		return store.Commit(ctx, t)
	}
	c := startCandidate(t, blocked, func(cfg *Config) {
		cfg.BootTime = func() time.Duration { return platform.BootTime() + time.Duration(suspended.Load()) }
	})
	agent := dialAgent(t, waitLease(t, store, func(wire.SchedulerLease) bool { return true }))
	report := &wire.WorkerReport{Sequence: 1, Sent: time.Second, Node: "side-0", Worker: wire.WorkerInfo{Instance: "i-1", Born: 1, State: wire.WorkerReady}}
	is.NoErr(agent.conn.Send(report))
	is.Equal((<-agent.orders).LastReportSent, time.Second)
	silent.Store(true)
	suspended.Store(int64(10 * time.Second))
	report.Sequence, report.Sent = 2, 2*time.Second
	is.NoErr(agent.conn.Send(report))
	is.Equal((<-agent.orders).LastReportSent, time.Second)
	m, err := c.Call(context.Background(), &wire.StatusQuery{})
	is.NoErr(err)
	is.True(m.(*wire.StatusAnswer).LeaseAge >= 10*time.Second)
	silent.Store(false)
}

// oddRows are values that another writer may leave in a row of ours.
func oddRows(t *testing.T) map[string][]byte {
	t.Helper()
	lease := func(change func(m map[string]any)) []byte {
		m := map[string]any{"holder": "other", "address": "127.0.0.1:9", "key": []byte("k"), "epoch": uint64(1), "sequence": uint64(1), "released": false}
		change(m)
		row, err := msgp.AppendMapStrIntf(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		return row
	}
	deep := bytes.Repeat([]byte{0x91}, 60<<10) // arrays of one element, each in the one before
	return map[string][]byte{
		"empty":                       {},
		"not readable":                []byte("\xc1\xff{"),
		"JSON":                        []byte(`{"holder":"other","epoch":1}`),
		"very deeply nested":          append(deep, 0x00),
		"a deeply nested field":       append(append([]byte{0x81, 0xa1, 'x'}, deep...), 0x00),
		"port out of range":           lease(func(m map[string]any) { m["address"] = "127.0.0.1:70000" }),
		"epoch too large":             lease(func(m map[string]any) { m["epoch"] = uint64(math.MaxUint64) }),
		"epoch missing":               lease(func(m map[string]any) { delete(m, "epoch") }),
		"epoch of another type":       lease(func(m map[string]any) { m["epoch"] = "one" }),
		"address of another type":     lease(func(m map[string]any) { m["address"] = 9 }),
		"nothing of what a lease has": lease(func(m map[string]any) { clear(m) }),
	}
}

// TestOddLeaseRowIsReplaced guards against a row of another writer in the place of
// the lease that no candidate can take. Epochs must grow all the same, since
// workers refuse lower tokens.
func TestOddLeaseRowIsReplaced(t *testing.T) {
	for name, value := range oddRows(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx := context.Background()
			store := platform.NewStandin().Store()
			for _, holder := range []string{"first", "second", "third"} { // three terms
				w := newWriter(store, holder)
				old, revision, err := readLease(ctx, store)
				is.NoErr(err)
				is.NoErr(w.claim(ctx, old, revision))
			}
			leaveOddRow := func() {
				_, err := store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: leaseKey, Value: value}}})
				is.NoErr(err)
			}
			held := func(after uint64) wire.SchedulerLease {
				return waitLease(t, store, func(l wire.SchedulerLease) bool {
					return l.Holder == "entry-0" && !l.Released && l.Epoch > after
				})
			}
			leaveOddRow()
			startCandidate(t, store, nil)
			first := held(3)
			leaveOddRow() // while the candidate holds the lease
			second := held(first.Epoch)
			is.True(second.Epoch < 1<<(64-connBits-lifetimeBits)) // tokens hold it
			dialAgent(t, second)                                  // agents are accepted
		})
	}
}

// TestLinkWaitsBehindOddLeaseRow guards against a link that stops following the
// lease after a row of another writer.
func TestLinkWaitsBehindOddLeaseRow(t *testing.T) {
	for name, value := range oddRows(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := platform.NewStandin().Store()
			_, err := store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: leaseKey, Value: value}}})
			is.NoErr(err)
			l := NewLink(LinkConfig{
				Local: wire.Hello{Role: wire.RoleAgent, Name: "agent"}, Store: store, Log: zerolog.Nop(),
				Handle: func(context.Context, *frame.Conn, wire.Message) wire.Message { return nil },
			})
			ctx, cancel := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				l.Run(ctx, func(*frame.Conn) {})
			}()
			time.Sleep(2 * pollUnlinked) // until the link has read the row
			next := newPeer(t, "next", 2)
			next.hold(t, store)
			next.next(t)
			cancel()
			<-stopped
		})
	}
}

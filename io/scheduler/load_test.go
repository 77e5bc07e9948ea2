package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// slowTables is a store whose job table arrives in parts until open is closed.
func slowTables(store platform.Store, open <-chan struct{}) platform.Store {
	readPage := store.ReadPage
	store.ReadPage = func(ctx context.Context, table, after string) (platform.Page, error) {
		for t := time.NewTicker(20 * time.Millisecond); table == TableJob; {
			select {
			case <-open:
				t.Stop()
				return readPage(ctx, table, after)
			case <-t.C:
				platform.ReportProgress(ctx)
			case <-ctx.Done():
				t.Stop()
				return platform.Page{}, &platform.UnavailableError{Op: "read page", Cause: ctx.Err()}
			}
		}
		return readPage(ctx, table, after)
	}
	return store
}

// TestLeasesOutlastLoading guards against leases that end because a new scheduler reads
// its tables for long: its own, which other entries then take over and over, and those of
// workers, which lose all that they run.
func TestLeasesOutlastLoading(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	open := make(chan struct{})
	c := startCandidate(t, slowTables(store, open), nil)
	renewed := func(n uint64) func(wire.SchedulerLease) bool {
		return func(l wire.SchedulerLease) bool { return l.Epoch == 1 && l.Sequence > n }
	}
	lease := waitLease(t, store, renewed(0))
	agent := dialAgent(t, lease)
	report := &wire.WorkerReport{Node: "side-0", Worker: wire.WorkerInfo{
		Instance: "i-1", Born: 1, Service: "s", State: wire.WorkerReady, Capacity: wire.Resources{CPU: 8000},
	}}
	next := func() *wire.WorkerOrders {
		report.Sequence++
		report.Sent += time.Second
		is.NoErr(agent.conn.Send(report))
		for o := range agent.orders {
			if o.LastReportSent == report.Sent {
				return o
			}
		}
		return nil
	}
	for range 5 { // longer than a time-out of a read would allow
		lease = waitLease(t, store, renewed(lease.Sequence))
		o := next() // permits renewals
		is.Equal(o.Instance, "")
		is.Equal(o.Stops, nil) // of what the scheduler does not know yet
		_, err := c.Call(context.Background(), &wire.QueueQuery{Queue: "q"})
		is.True(err != nil) // answered from rows
	}
	close(open)
	for o := next(); o.Instance != "i-1"; { // orders from the tables
		o = next()
	}
	lease = waitLease(t, store, renewed(lease.Sequence))
	is.Equal(lease.Epoch, uint64(1))
}

// TestLoadingContinuesAfterFailure guards against a table that is read from its start
// again after each failure: where one page in two fails, a table of many pages would never
// be read.
func TestLoadingContinuesAfterFailure(t *testing.T) {
	is := is.New(t)
	store := platform.NewStandin().Store()
	const jobs = 2600
	ids := make([]string, jobs)
	for n := range ids {
		j := wire.Job{ID: string(rune('a'+n/676)) + string(rune('a'+n/26%26)) + string(rune('a'+n%26)), Queue: "q", Service: "s", Attempts: 1, Steps: []wire.JobStep{{Count: 1}}}
		ids[n] = j.ID
		value, err := j.MarshalMsg(nil)
		is.NoErr(err)
		_, err = store.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: TableJob + "/" + j.ID, Value: value}}})
		is.NoErr(err)
	}
	var calls atomic.Int64
	failing := store
	failing.ReadPage = func(ctx context.Context, table, after string) (platform.Page, error) {
		if table == TableJob && calls.Add(1)%2 == 1 {
			return platform.Page{}, &platform.UnavailableError{Op: "read page"}
		}
		return store.ReadPage(ctx, table, after)
	}
	c := startCandidate(t, failing, nil)
	for end := time.Now().Add(linkTestTimeout); ; time.Sleep(5 * time.Millisecond) {
		answer, err := c.Call(context.Background(), &wire.QueueQuery{Queue: "q"})
		if err == nil {
			is.Equal(answer.(*wire.QueueAnswer).Pending, jobs)
			break
		}
		if time.Now().After(end) {
			t.Fatal("the tables are not read")
		}
	}
	is.Equal(calls.Load(), int64(12))
}

// TestHolderThatReadsNothingGivesUpLease guards against a scheduler that keeps the lease
// by renewing it and never knows its jobs, while the store does not answer its reads.
func TestHolderThatReadsNothingGivesUpLease(t *testing.T) {
	store := platform.NewStandin().Store()
	silent := store
	silent.ReadPage = func(ctx context.Context, _, _ string) (platform.Page, error) {
		<-ctx.Done()
		return platform.Page{}, &platform.UnavailableError{Op: "read page", Cause: ctx.Err()}
	}
	startCandidate(t, silent, nil)
	waitLease(t, store, func(l wire.SchedulerLease) bool { return l.Epoch == 1 && l.Sequence > 1 }) // it renews the lease
	waitLease(t, store, func(l wire.SchedulerLease) bool { return l.Released || l.Epoch > 1 })
}

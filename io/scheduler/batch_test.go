package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// maxTxnEntries is the number of entries that a transaction of the users' store
// holds.
const maxTxnEntries = 100

// TestTransactionsWithinStoreLimits flushes many changes at once, beside as many
// submitted jobs as one transaction inserts.
func TestTransactionsWithinStoreLimits(t *testing.T) {
	tests := map[string]struct {
		expired, changed int
	}{
		"many expired jobs":           {expired: 500},
		"many changed jobs":           {changed: 500},
		"expired jobs beside changes": {expired: 500, changed: 30},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)
			e := job.New(job.Config{Retention: time.Minute}, now)
			add := func(kind string, i int) string {
				j := wire.Job{ID: fmt.Sprintf("%s-%d", kind, i), Accepted: now, Attempts: 1, Steps: []wire.JobStep{{Count: 1}}}
				e.Submit(j, now)
				return j.ID
			}
			for i := range tt.expired {
				e.Cancel(add("expired", i), now)
			}
			for b := e.Flush(); b != nil; b = e.Flush() {
				e.MarkCommitted(b)
			}
			now = now.Add(2 * time.Minute)
			e.Expire(now)
			for i := range tt.changed {
				e.Cancel(add("changed", i), now)
			}
			var submitted []*submission
			for i := range maxInserts {
				submitted = append(submitted, &submission{job: wire.Job{ID: fmt.Sprintf("new-%d", i)}})
			}
			deleted, written := 0, 0
			for b := e.Flush(); b != nil; b = e.Flush() {
				c, err := encodeChanges(b, submitted)
				is.NoErr(err)
				txn, err := new(writer).txn(c)
				is.NoErr(err)
				is.True(len(txn.Conditions)+len(txn.Writes) <= maxTxnEntries)
				deleted, written = deleted+len(b.Expired), written+len(b.Progress)
				e.MarkCommitted(b)
			}
			is.Equal(deleted, tt.expired)
			is.Equal(written, tt.changed)
		})
	}
}

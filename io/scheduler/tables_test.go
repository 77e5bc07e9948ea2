package scheduler

import (
	"context"
	"math"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestOddJobRowsAreSkipped guards against a row of another writer in the job table
// that ends or blocks every process that becomes the scheduler. The rows beside it
// hold.
func TestOddJobRowsAreSkipped(t *testing.T) {
	one := func(change func(j *wire.Job, s *wire.JobStep)) []byte {
		j := wire.Job{ID: "odd", Queue: "q", Attempts: 1, Accepted: time.Now(), Steps: []wire.JobStep{{Count: 1}}}
		change(&j, &j.Steps[0])
		value, err := j.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	tests := map[string][]byte{
		"a job of another id":  one(func(j *wire.Job, _ *wire.JobStep) { j.ID = "other" }),
		"no step":              one(func(j *wire.Job, _ *wire.JobStep) { j.Steps = nil }),
		"count too large":      one(func(_ *wire.Job, s *wire.JobStep) { s.Count = 200_000 }),
		"negative count":       one(func(_ *wire.Job, s *wire.JobStep) { s.Count = -1 }),
		"negative demand":      one(func(_ *wire.Job, s *wire.JobStep) { s.Demand.Accelerators = math.MinInt }),
		"demand too large":     one(func(_ *wire.Job, s *wire.JobStep) { s.Demand.CPU = math.MaxInt }),
		"estimate too large":   one(func(_ *wire.Job, s *wire.JobStep) { s.Estimate = math.MaxInt64 }),
		"a step after itself":  one(func(_ *wire.Job, s *wire.JobStep) { s.After = []int{0} }),
		"too many occurrences": one(func(j *wire.Job, _ *wire.JobStep) { j.RepeatCount = 2_000_000 }),
		"interval too large": one(func(j *wire.Job, _ *wire.JobStep) {
			j.RepeatCount, j.FirstRun, j.Interval = 1000, time.Now(), math.MaxInt64
		}),
	}
	for name, value := range oddRows(t) {
		tests["not a job: "+name] = value
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			good := wire.Job{ID: "good", Queue: "q", Attempts: 1, Accepted: time.Now(), Steps: []wire.JobStep{{Count: 1}}}
			goodValue, err := good.MarshalMsg(nil)
			is.NoErr(err)
			h := &holder{cfg: Config{Log: zerolog.Nop()}, engine: job.New(job.Config{}, time.Now())}
			h.applyJobRows(platform.Changes{Revision: 9, Rows: []platform.Row{
				{Key: TableJob + "/odd", Value: value, Revision: 7}, {Key: TableJob + "/good", Value: goodValue, Revision: 8},
			}}, nil)
			is.NoErr(h.termFailure())
			_, _, known := h.engine.State("good")
			is.True(known)
			for _, id := range []string{"odd", "other", ""} {
				_, _, known = h.engine.State(id)
				is.True(!known)
			}
			is.Equal(h.jobsRevision, uint64(9)) // the watch goes on behind it
		})
	}
}

// TestDeletedCancellationCancelsNothing guards against the deletion of an expired
// job's cancellation that cancels a later job of the same id.
func TestDeletedCancellationCancelsNothing(t *testing.T) {
	is := is.New(t)
	j := wire.Job{ID: "j", Queue: "q", Attempts: 1, Accepted: time.Now(), Steps: []wire.JobStep{{Count: 1}}}
	value, err := j.MarshalMsg(nil)
	is.NoErr(err)
	h := &holder{cfg: Config{Log: zerolog.Nop()}, engine: job.New(job.Config{}, time.Now())}
	h.applyJobRows(platform.Changes{Rows: []platform.Row{
		{Key: TableJob + "/j" + CancelSuffix, Revision: 7, Deleted: true}, {Key: TableJob + "/j", Value: value, Revision: 8},
	}}, nil)
	if b := h.engine.Flush(); b != nil {
		h.engine.MarkCommitted(b)
	}
	_, state, known := h.engine.State("j")
	is.True(known)
	is.Equal(state, wire.JobQueued)
}

// TestOrphanedCancellationsAreDeleted guards against rows that stay for ever: those of
// cancellations whose jobs were never stored. They are kept for the retention time.
func TestOrphanedCancellationsAreDeleted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := platform.NewStandin().Store()
	j := wire.Job{ID: "stored", Queue: "q", Service: "s", Attempts: 1, Accepted: time.Now(), Steps: []wire.JobStep{{Count: 1}}}
	value, err := j.MarshalMsg(nil)
	is.NoErr(err)
	put := func(key string, value []byte) {
		_, err := store.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: TableJob + "/" + key, Value: value}}})
		is.NoErr(err)
	}
	put("stored", value)
	put("early"+CancelSuffix, []byte{1})
	startCandidate(t, store, func(cfg *Config) { cfg.Engine.Retention = 500 * time.Millisecond })
	waitLease(t, store, func(l wire.SchedulerLease) bool { return l.Sequence > 1 })
	put("late"+CancelSuffix, []byte{1})
	for _, key := range []string{"early", "late"} {
		for end := time.Now().Add(linkTestTimeout); ; time.Sleep(10 * time.Millisecond) {
			row, err := store.Get(ctx, TableJob+"/"+key+CancelSuffix)
			is.NoErr(err)
			if row.Revision == 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("the cancellation of %s is not deleted", key)
			}
		}
	}
	row, err := store.Get(ctx, TableJob+"/stored")
	is.NoErr(err)
	is.True(row.Revision > 0)
}

// TestExpiredJobIsNotTakenInAgain guards against work that is done again: the whole job
// table, read after its history was lost, still has the row of a job that the scheduler
// is deleting, or has deleted since.
func TestExpiredJobIsNotTakenInAgain(t *testing.T) {
	tests := map[string]func(h *holder, b *job.Batch){
		"expired":              func(*holder, *job.Batch) {},
		"deletion in progress": func(h *holder, b *job.Batch) { *b = *h.engine.Flush() },
		"deletion committed after the read": func(h *holder, b *job.Batch) {
			*b = *h.engine.Flush()
			h.writer.revision = 20
			h.finishRound(context.Background(), b, time.Now())
		},
	}
	for name, advance := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			j := wire.Job{ID: "j", Queue: "q", Service: "s", Attempts: 1, Accepted: now, Steps: []wire.JobStep{{Count: 1}}}
			value, err := j.MarshalMsg(nil)
			is.NoErr(err)
			h := newHolder(Config{Log: zerolog.Nop(), Engine: job.Config{Retention: time.Minute}}, &writer{bootTime: platform.BootTime})
			rows := platform.Changes{Revision: 10, Rows: []platform.Row{{Key: TableJob + "/j", Value: value, Revision: 7}}}
			h.applyJobRows(rows, nil)
			h.engine.Cancel("j", now)
			h.engine.MarkCommitted(h.engine.Flush())
			h.engine.Expire(now.Add(2 * time.Minute))
			var batch job.Batch
			advance(h, &batch)
			h.applyJobRows(rows, nil)
			_, _, known := h.engine.State("j")
			is.True(!known)

			// The watch has passed the deletion, and another job has the id.
			h.engine.MarkCommitted(&batch)
			if b := h.engine.Flush(); b != nil {
				h.engine.MarkCommitted(b)
			}
			h.applyJobRows(platform.Changes{Revision: 30, Rows: []platform.Row{{Key: TableJob + "/j", Value: value, Revision: 25}}}, nil)
			_, _, known = h.engine.State("j")
			is.True(known)
			is.Equal(len(h.deleted), 0)
		})
	}
}

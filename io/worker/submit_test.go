package worker_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bramleythread/io/caller"
	"bramleythread/io/platform"
	"bramleythread/io/scheduler"
	"bramleythread/io/wire"
)

// TestConcurrentSubmissionsOfSameJob submits each job at two entries at once.
// No run may start twice, even if responses of the store are lost or the
// scheduler is cut off from it.
func TestConcurrentSubmissionsOfSameJob(t *testing.T) {
	tests := map[string]func(s *system){
		"without faults":                   func(*system) {},
		"lost responses of the store":      func(s *system) { s.store.SetFaults(platform.Faults{LostReplies: 6}) },
		"scheduler cut off from the store": func(s *system) { s.links[s.holder()].cut.Store(true) },
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystem(t, 2, 2)
			s.submit("first", "", tasks(1))
			s.waitState("first", wire.JobCompleted)
			injectFault(s)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			var wg sync.WaitGroup
			var failed atomic.Int64
			for n := range 16 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					j := wire.Job{
						ID: fmt.Sprintf("j-%d", n/2), Queue: "q", Service: "podcheck", Attempts: 3, Stretch: 3,
						Accepted: time.Now(), Steps: []wire.JobStep{tasks(2)},
					}
					if err := s.jobs(n%2).Submit(ctx, j); err != nil {
						failed.Add(1)
					}
				}()
			}
			wg.Wait()
			if name != "scheduler cut off from the store" { // submissions at the entry that is cut off may be rejected too
				is.Equal(failed.Load(), int64(0))
			}
			for _, l := range s.links {
				l.cut.Store(false)
			}
			for n := range 8 {
				id := fmt.Sprintf("j-%d", n)
				row, err := s.store.Store().Get(ctx, "job/"+id)
				is.NoErr(err)
				if row.Revision != 0 {
					s.waitState(id, wire.JobCompleted)
				}
			}
			s.starts()
		})
	}
}

// TestJobRowExistsBeforeInsert writes the row of a job just before the
// scheduler's own transaction inserts it. The scheduler must run the job all
// the same.
func TestJobRowExistsBeforeInsert(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, 1)
	s.submit("first", "", tasks(1))
	s.waitState("first", wire.JobCompleted)
	var once sync.Once
	before := func(t platform.Txn) {
		for _, w := range t.Writes {
			if w.Key == "job/j" {
				once.Do(func() {
					_, err := s.store.Store().Commit(context.Background(), platform.Txn{Writes: []platform.Write{w}})
					is.NoErr(err)
					time.Sleep(100 * time.Millisecond) // until the scheduler's watch of the job table has returned it
				})
			}
		}
	}
	s.links[0].before.Store(&before)
	s.submit("j", "", tasks(2))
	s.waitState("j", wire.JobCompleted)
	is.Equal(len(s.starts()), 3)
}

// TestCancellationOfPendingSubmission guards against a forgotten cancellation. An
// entry stores a job and its cancellation while the scheduler's own transaction
// with the job has no outcome, and the scheduler withdraws its submission.
func TestCancellationOfPendingSubmission(t *testing.T) {
	tests := map[string]struct {
		commitsRefused bool // the scheduler's transaction is never applied
		cancelled      bool
		want           wire.JobState
	}{
		"row exists, cancelled": {cancelled: true, want: wire.JobCancelled},
		"row exists":            {want: wire.JobCompleted},
		"transaction of scheduler lost, cancelled": {commitsRefused: true, cancelled: true, want: wire.JobCancelled},
		"transaction of scheduler lost":            {commitsRefused: true, want: wire.JobCompleted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystem(t, 1, 1)
			s.submit("first", "", tasks(1))
			s.waitState("first", wire.JobCompleted)
			store := s.store.Store()
			commit := func(t platform.Txn) {
				_, err := store.Commit(context.Background(), t)
				is.NoErr(err)
			}
			var once sync.Once
			before := func(t platform.Txn) {
				i := slices.IndexFunc(t.Writes, func(w platform.Write) bool { return w.Key == "job/j" })
				if i < 0 {
					return
				}
				once.Do(func() {
					s.links[0].commitsRefused.Store(tt.commitsRefused)
					commit(platform.Txn{Writes: t.Writes[i : i+1]})
					if tt.cancelled {
						commit(platform.Txn{Writes: []platform.Write{{Key: "job/j.cancel", Value: []byte{1}}}})
					}
					time.Sleep(100 * time.Millisecond) // until the scheduler's watch of the job table has returned the rows
				})
			}
			s.links[0].before.Store(&before)
			answer, err := s.entries[0].Call(context.Background(), &wire.SubmitJob{Job: wire.Job{
				ID: "j", Queue: "q", Service: "podcheck", Attempts: 3, Stretch: 3, Accepted: time.Now(), Steps: []wire.JobStep{tasks(2)},
			}})
			is.NoErr(err)
			if a := answer.(*wire.SubmitAnswer); tt.commitsRefused {
				is.Equal(a.Outcome, wire.SubmitDeclined)
			} else {
				is.Equal(a.Outcome, wire.SubmitKnown)
			}
			s.links[0].commitsRefused.Store(false)
			s.waitState("j", tt.want)
			if tt.cancelled {
				is.Equal(len(s.starts()), 1)
			}
		})
	}
}

// TestEntryWithoutStoreSubmitsThroughSuccessor cuts the scheduling entry off
// from the store for good. It must forward submissions to the entry that takes
// over.
func TestEntryWithoutStoreSubmitsThroughSuccessor(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 2)
	s.submit("first", "", tasks(1))
	s.waitState("first", wire.JobCompleted)
	old := s.holder()
	s.links[old].cut.Store(true)
	s.wait(func() bool { return s.holder() != old }, func() string { return "no entry took over" })
	var answer wire.Message
	s.wait(func() bool {
		var err error
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		answer, err = s.entries[old].Call(ctx, &wire.SubmitJob{Job: wire.Job{
			ID: "j", Queue: "q", Service: "podcheck", Attempts: 3, Stretch: 3, Accepted: time.Now(), Steps: []wire.JobStep{tasks(2)},
		}})
		a, ok := answer.(*wire.SubmitAnswer)
		return err == nil && ok && a.Outcome != wire.SubmitDeclined
	}, func() string { return fmt.Sprintf("the job is not accepted: %v", answer) })
	is.Equal(answer.(*wire.SubmitAnswer).Outcome, wire.SubmitStored)
	s.waitState("j", wire.JobCompleted)
}

// TestSubmissionSurvivesSchedulerLoss makes the store stop answering the
// scheduling entry while it writes a job. The entry must learn the outcome
// through its successor.
func TestSubmissionSurvivesSchedulerLoss(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, 2)
	s.submit("first", "", tasks(1))
	s.waitState("first", wire.JobCompleted)
	old := s.holder()
	s.links[old].silent.Store(true)
	jobs := s.jobs(old)
	jobs.Store = s.links[old].Store()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(jobs.Submit(ctx, wire.Job{
		ID: "j", Queue: "q", Service: "podcheck", Attempts: 3, Stretch: 3, Accepted: time.Now(), Steps: []wire.JobStep{tasks(2)},
	}))
	is.True(s.holder() != old)
	s.waitState("j", wire.JobCompleted)
	is.Equal(len(s.starts()), 3)
}

// TestResignedEntryReachesScheduler resigns the scheduler, and closes its
// successor. The resigned entry must reach the scheduler each time, and must not
// take the lease again.
func TestResignedEntryReachesScheduler(t *testing.T) {
	s := newSystem(t, 3, 1)
	s.submit("first", "", tasks(1))
	s.waitState("first", wire.JobCompleted)
	resigned := s.holder()
	s.entries[resigned].Resign()
	for range 2 {
		s.wait(func() bool { return s.holder() != resigned }, func() string { return "no entry took over" })
		s.wait(func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			m, err := s.entries[resigned].Call(ctx, &wire.QueueQuery{Queue: "q"})
			_, ok := m.(*wire.QueueAnswer)
			return err == nil && ok
		}, func() string { return "the resigned entry does not reach the scheduler" })
		s.entries[s.holder()].Close()
	}
}

// TestCancellationBehindSilentConnection guards against a cancelled job that goes on
// because the scheduler's connection to the store has fallen silent. The poll of the
// job table must end within the limit for cancellations, and the next one show it.
func TestCancellationBehindSilentConnection(t *testing.T) {
	is := is.New(t)
	const limit = 3 * time.Second
	s := newSystem(t, 0, 1)
	var silent atomic.Bool
	var ended atomic.Int64 // silent polls that have ended
	late := make(chan time.Duration, 100)
	store := s.store.Store()
	watch := store.Watch
	store.Watch = func(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
		if table == scheduler.TableJob && after > 0 {
			start := time.Now()
			context.AfterFunc(ctx, func() {
				if took := time.Since(start); took >= limit {
					late <- took
				}
			})
			if silent.CompareAndSwap(true, false) {
				<-ctx.Done()
				ended.Add(1)
				return platform.Changes{}, &platform.UnavailableError{Op: "watch", Cause: ctx.Err()}
			}
		}
		return watch(ctx, table, after, wait)
	}
	s.startEntryWith(func(cfg *scheduler.Config) { cfg.Store, cfg.CancelLimit = store, limit })
	s.submit("j", "1m", tasks(2))
	s.waitStarts(2)
	silent.Store(true)
	s.submit("k", "", tasks(1)) // ends the poll in progress, so that the next one is silent
	s.wait(func() bool { return !silent.Load() }, func() string { return "no poll" })
	ok, err := s.jobs(0).Cancel(context.Background(), "q", "j")
	is.NoErr(err)
	is.True(ok)
	s.waitState("j", wire.JobCancelled)
	silent.Store(true) // a poll of the longest wait
	s.wait(func() bool { return ended.Load() == 2 }, func() string { return "no second silent poll has ended" })
	is.Equal(len(late), 0) // polls that have lasted beyond the limit
}

// TestCancelledSubmissionIsNotStoredLater guards against a job that runs after its
// cancellation was answered: there was no such job, but a write of its submission was
// on its way.
func TestCancelledSubmissionIsNotStoredLater(t *testing.T) {
	tests := map[string]struct {
		direct bool // the entry stores the job, not the scheduler
		lost   bool // the first write gets no answer, and is applied after the cancellation
	}{
		"scheduler's write":                {},
		"scheduler's write, applied later": {lost: true},
		"entry's own write":                {direct: true},
		"entry's own write, applied later": {direct: true, lost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystem(t, 1, 1)
			s.submit("first", "", tasks(1))
			s.waitState("first", wire.JobCompleted)
			cancelled := make(chan bool, 1)
			var once sync.Once
			store := s.links[0].Store()
			if tt.direct {
				store = s.store.Store()
			}
			commit := store.Commit
			store.Commit = func(ctx context.Context, txn platform.Txn) (uint64, error) {
				stores := slices.ContainsFunc(txn.Writes, func(w platform.Write) bool { return w.Key == "job/j" })
				var err error
				if stores {
					once.Do(func() {
						var ok bool
						ok, err = s.jobs(0).Cancel(context.Background(), "q", "j")
						is.NoErr(err)
						cancelled <- ok
						if tt.lost {
							err = &platform.UnavailableError{Op: "commit", MaybeApplied: true}
							_, _ = commit(context.Background(), txn) // whose answer is lost
						}
					})
				}
				if err != nil {
					return 0, err
				}
				return commit(ctx, txn)
			}
			jobs := s.jobs(0)
			if tt.direct {
				jobs.Store = store
				jobs.CallScheduler = func(context.Context, wire.Message) (wire.Message, error) { return nil, &scheduler.NoSchedulerError{} }
			} else {
				s.entries[0].Close()
				s.startEntryWith(func(cfg *scheduler.Config) { cfg.Store = store })
				jobs = s.jobs(1)
				s.wait(func() bool {
					_, err := s.entries[1].Call(context.Background(), &wire.QueueQuery{Queue: "q"})
					return err == nil
				}, func() string { return "the entry is not the scheduler" })
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			err := jobs.Submit(ctx, wire.Job{
				ID: "j", Queue: "q", Service: "podcheck", Attempts: 3, Stretch: 3, Accepted: time.Now(), Steps: []wire.JobStep{tasks(1)},
			})
			var refused *caller.NotAcceptedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, "cancelled")
			is.True(!<-cancelled) // there was no such job
			row, err := s.store.Store().Get(ctx, "job/j")
			is.NoErr(err)
			is.Equal(row.Revision, uint64(0))
		})
	}
}

// TestCancelOfOtherQueuesJob cancels a job by the path of another queue. It must not be
// cancelled, and the call must return.
func TestCancelOfOtherQueuesJob(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, 1)
	s.submit("j", "1m", tasks(1))
	s.waitStarts(1)
	ok, err := s.jobs(0).Cancel(context.Background(), "other", "j")
	is.NoErr(err)
	is.True(!ok)
	row, err := s.store.Store().Get(context.Background(), "job/j.cancel")
	is.NoErr(err)
	is.Equal(row.Revision, uint64(0))
}

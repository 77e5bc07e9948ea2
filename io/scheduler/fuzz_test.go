package scheduler

import (
	"net/netip"
	"testing"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/platform"
	"bramleythread/io/wire"

	"github.com/rs/zerolog"
)

// FuzzJobRows checks that rows of any content in the tables of jobs and of their
// progress neither end a scheduler's term nor keep it from running other jobs.
func FuzzJobRows(f *testing.F) {
	encode := func(m interface{ MarshalMsg([]byte) ([]byte, error) }) []byte {
		b, err := m.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		return b
	}
	good := wire.Job{ID: "j", Queue: "q", Attempts: 2, Accepted: time.Unix(1, 0), RepeatCount: 2, FirstRun: time.Unix(1, 0), Interval: time.Second,
		Steps: []wire.JobStep{{Count: 2, Gang: true}, {Count: 1, After: []int{0}}}}
	progress := wire.JobProgress{State: wire.JobRunning, Workers: []wire.WorkerRef{{Node: "n", Instance: "i", Born: 1}},
		Stages: []wire.StageProgress{{Tasks: []wire.TaskProgress{{Run: 1, Worker: 1}, {Done: true, Run: 1}}}}, Done: []wire.OccurrenceRange{{From: 1, To: 2}}}
	f.Add(encode(&good), encode(&progress))
	f.Add(encode(&good), []byte{0x81, 0xa6, 's', 't', 'a', 'g', 'e', 's', 0xdd, 0, 0, 0xff, 0xff})
	f.Add([]byte{0xc1}, []byte{})
	f.Fuzz(func(t *testing.T, row, progress []byte) {
		states := make(map[string]*wire.JobProgress)
		p := new(wire.JobProgress)
		if _, err := p.UnmarshalMsg(progress); err == nil {
			states["j"] = p
		}
		now := time.Unix(100, 0)
		h := &holder{cfg: Config{Log: zerolog.Nop()}, engine: job.New(job.Config{LeaseLimit: time.Second, Retention: time.Second, RackFactor: 3}, now)}
		h.applyJobRows(platform.Changes{Revision: 9, Rows: []platform.Row{{Key: TableJob + "/j", Value: row, Revision: 7}}}, states)
		if err := h.termFailure(); err != nil {
			t.Fatal(err)
		}
		h.engine.Tick(now.Add(time.Second))
	})
}

// FuzzLeaseRow checks that a lease that is accepted could have been written by a
// scheduler, and that any other row counts as free.
func FuzzLeaseRow(f *testing.F) {
	l := wire.SchedulerLease{Epoch: 3, Sequence: 4, Holder: "n", Address: netip.MustParseAddrPort("127.0.0.1:1"), Key: []byte("key")}
	value, err := l.MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value, uint64(9))
	f.Add([]byte{0x81}, uint64(0))
	f.Fuzz(func(t *testing.T, value []byte, revision uint64) {
		l, err := decodeLease(platform.Row{Value: value, Revision: revision})
		if l.Epoch > revision || err != nil && !l.Released {
			t.Fatalf("lease %+v at revision %d: %v", l, revision, err)
		}
	})
}

package job

import (
	"fmt"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

// testCluster drives an engine in place of agents and a store.
type testCluster struct {
	t         *testing.T
	e         *Engine
	now       time.Time
	sequence  uint64
	ends      map[string]int
	rows      map[string]wire.JobProgress // committed progress by job
	decisions []Decision

	maxStartsSize int // of the engines
	maxListedEnds int // of a model's workers; 0 means all
}

var testStart = time.Date(2027, 6, 1, 8, 0, 0, 0, time.UTC)

func newTestCluster(t *testing.T) *testCluster {
	f := &testCluster{t: t, now: testStart, ends: make(map[string]int), rows: make(map[string]wire.JobProgress)}
	f.e = New(f.config(), f.now)
	return f
}

func (f *testCluster) config() Config {
	return Config{
		LeaseLimit: 11 * time.Second, Retention: 2 * time.Minute, RackFactor: 3, MaxStartsSize: f.maxStartsSize,
		OnDecision: func(d Decision) { f.decisions = append(f.decisions, d) },
	}
}

// workers reports n ready workers with 8 accelerators each, three to a rack.
func (f *testCluster) workers(n int) {
	for i := range n {
		f.report(node(i), nil, nil)
	}
}

func node(i int) string { return fmt.Sprintf("node-%d", i) }

func info(name string) wire.WorkerInfo {
	var i int
	_, _ = fmt.Sscanf(name, "node-%d", &i)
	rack := fmt.Sprintf("rack-%d", i/3)
	return wire.WorkerInfo{
		Instance: "i-" + name, Born: 1, Service: "podcheck", Zone: "z", Rack: rack, Labels: []string{"a", rack},
		Capacity: wire.Resources{CPU: 32000, Memory: 65536, Accelerators: 8}, State: wire.WorkerReady,
	}
}

// report sends a report of a worker that lists all runs placed on it, except the
// given ends.
func (f *testCluster) report(name string, change func(*wire.WorkerReport), ends map[wire.TaskID]wire.RunEnd) {
	f.sequence++
	r := &wire.WorkerReport{Sequence: f.sequence, Node: name, RunningAt: f.now.Sub(testStart) + time.Second, Worker: info(name)}
	if w := f.e.workers[name]; w != nil {
		for id, run := range w.runs {
			how, ended := ends[id]
			if !ended {
				r.Running = append(r.Running, wire.RunningTask{Task: id, Run: run.number})
				continue
			}
			f.ends[name]++
			r.Ended = append(r.Ended, wire.EndedRun{Number: f.ends[name], Task: id, Run: run.number, End: how})
		}
	}
	if change != nil {
		change(r)
	}
	f.e.Report(r, f.now)
}

// tick runs the engine and commits its decisions.
func (f *testCluster) tick() {
	f.e.Tick(f.now)
	f.commit()
}

func (f *testCluster) commit() {
	if b := f.e.Flush(); b != nil {
		for _, c := range b.Progress {
			f.rows[c.ID] = c.Progress
		}
		f.e.MarkCommitted(b)
	}
}

func (f *testCluster) job(id string, priority int, steps ...wire.JobStep) wire.Job {
	return wire.Job{
		ID: id, Queue: "q", Customer: "c", Service: "podcheck", Priority: priority, Attempts: 2,
		Stretch: 3, Objective: time.Second, Accepted: f.now, Steps: steps,
	}
}

func step(count, accelerators int) wire.JobStep {
	return wire.JobStep{Count: count, Demand: wire.Resources{CPU: 1000, Memory: 1024, Accelerators: accelerators}}
}

func gang(count, accelerators int) wire.JobStep {
	s := step(count, accelerators)
	s.Gang = true
	return s
}

// runs returns the active runs of a job by task index.
func (f *testCluster) runs(id string) map[int]*run {
	active := make(map[int]*run)
	for _, s := range f.e.jobs[id].stageList {
		for _, t := range s.tasks {
			if t.run != nil {
				active[t.index] = t.run
			}
		}
	}
	return active
}

func (f *testCluster) state(id string) wire.JobState {
	_, state, _ := f.e.State(id)
	return state
}

// restart replaces the engine with one restored from the committed rows, as encoded.
func (f *testCluster) restart() {
	old := f.e
	f.e = New(f.config(), f.now)
	for _, j := range old.jobList {
		committed, ok := f.rows[j.ID]
		if !ok {
			f.e.Restore(j.Job, nil, f.now)
			continue
		}
		row, err := committed.MarshalMsg(nil)
		if err != nil {
			f.t.Fatal(err)
		}
		p := new(wire.JobProgress)
		if _, err := p.UnmarshalMsg(row); err != nil {
			f.t.Fatal(err)
		}
		f.e.Restore(j.Job, p, f.now)
	}
}

func TestJobRunsToCompletion(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	second := step(1, 1)
	second.After = []int{0}
	f.e.Submit(f.job("j", 1, step(2, 4), second), f.now)
	is.Equal(f.state("j"), wire.JobQueued)
	f.tick()
	is.Equal(f.state("j"), wire.JobRunning)
	is.Equal(len(f.runs("j")), 2)

	for i := range 2 {
		f.report(node(i), nil, map[wire.TaskID]wire.RunEnd{{Job: "j", Index: 0}: wire.EndDone, {Job: "j", Index: 1}: wire.EndDone})
	}
	f.tick()
	is.Equal(f.e.jobs["j"].stages[stageKey{0, 1}].activeRuns, 1) // the second step runs
	for i := range 2 {
		f.report(node(i), nil, map[wire.TaskID]wire.RunEnd{{Job: "j", Step: 1}: wire.EndDone})
	}
	is.Equal(f.state("j"), wire.JobRunning) // not visible before it is committed
	f.tick()
	is.Equal(f.state("j"), wire.JobCompleted)
}

func TestStartOrderedOnlyAfterCommit(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.e.Tick(f.now)
	o, ok := f.e.Orders(node(0))
	is.True(ok)
	is.Equal(len(o.Starts), 0) // the run is not committed yet
	f.commit()
	o, _ = f.e.Orders(node(0))
	is.Equal(len(o.Starts), 1)
	f.report(node(0), nil, nil)
	o, _ = f.e.Orders(node(0))
	is.Equal(len(o.Starts), 0) // the worker lists it
}

func TestEndAcknowledgedAfterCommit(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.tick()
	f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndDone})
	o, _ := f.e.Orders(node(0))
	is.Equal(o.AckedEnds, 0)
	f.commit()
	o, _ = f.e.Orders(node(0))
	is.Equal(o.AckedEnds, 1)
}

// TestEndDuringFinalCommitAcknowledgedLater reports the end of a second gang member
// while the final state caused by the end of the first is being written. The end
// must not be acknowledged before the row without the worker is committed.
func TestEndDuringFinalCommitAcknowledgedLater(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	f.e.Submit(f.job("j", 1, gang(2, 8)), f.now)
	f.tick()
	f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndDone, {Job: "j", Index: 1}: wire.EndDone})
	b := f.e.Flush()
	f.report(node(1), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndDone, {Job: "j", Index: 1}: wire.EndDone})
	o, _ := f.e.Orders(node(1))
	is.Equal(o.AckedEnds, 0)
	f.e.MarkCommitted(b)
	o, _ = f.e.Orders(node(1))
	is.Equal(o.AckedEnds, 0) // the row still names this worker
	f.commit()
	o, _ = f.e.Orders(node(1))
	is.Equal(o.AckedEnds, 1)
}

func TestRestoreRunsOfTwoWorkerLifetimes(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	// The row of a cancelled job still names the worker's first lifetime.
	f.e.Submit(f.job("old", 1, step(1, 1)), f.now)
	f.tick()
	f.e.Cancel("old", f.now)
	f.commit()
	secondLifetime := func(r *wire.WorkerReport) { r.Worker.Instance, r.Worker.Born = "i-second", 2 }
	f.report(node(0), func(r *wire.WorkerReport) {
		secondLifetime(r)
		r.Running = nil
	}, nil)
	f.e.Submit(f.job("new", 1, step(1, 8)), f.now)
	f.tick()
	f.report(node(0), secondLifetime, nil)
	f.e.jobs["old"].stageList[0].tasks[0].run = &run{
		task: f.e.jobs["old"].stageList[0].tasks[0], number: 1, worker: &Worker{WorkerInfo: info(node(0)), Node: node(0)},
	}
	f.e.jobs["old"].stageList[0].activeRuns = 1

	f.restart()
	f.report(node(0), func(r *wire.WorkerReport) {
		secondLifetime(r)
		r.Running = []wire.RunningTask{{Task: wire.TaskID{Job: "new"}, Run: 1}}
	}, nil)
	is.Equal(f.runs("new")[0].number, 1) // the run on the second lifetime continues
	is.Equal(len(f.runs("old")), 0)      // the run on the first has ended
}

func TestCheckpointSurvivesLossOfAllWorkers(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	saves := step(1, 8)
	saves.Checkpoints = true
	f.e.Submit(f.job("j", 1, saves), f.now)
	f.tick()
	var rows []wire.JobProgress
	for i := range 20 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.report(node(0), func(r *wire.WorkerReport) { r.Running[0].Checkpoint = fmt.Sprintf("c%d", i) }, nil)
		f.e.Tick(f.now)
		if b := f.e.Flush(); b != nil {
			rows = append(rows, b.Progress[0].Progress)
			f.e.MarkCommitted(b)
		}
	}
	is.True(len(rows) >= 3 && len(rows) <= 4) // fewer than one per checkpoint
	last := rows[len(rows)-1]
	row := f.e.jobs["j"].Job
	f.e = New(f.config(), f.now)
	f.e.Restore(row, &last, f.now)
	f.report(node(0), func(r *wire.WorkerReport) { r.Worker.Born, r.Running = 2, nil }, nil)
	f.tick()
	f.commit()
	o, ok := f.e.Orders(node(0))
	is.True(ok)
	is.Equal(len(o.Starts), 1)
	is.Equal(o.Starts[0].Checkpoint, last.Stages[0].Tasks[0].Checkpoint)
	is.True(o.Starts[0].Checkpoint != "")
}

// storeRowLimit is the maximum row size of the users' store.
const storeRowLimit = 64 << 10

func TestRowAndBatchSizesWithinStoreLimits(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(12)
	small := wire.JobStep{Count: MaxTasks, Checkpoints: true, Demand: wire.Resources{CPU: 100}}
	for i := range 40 {
		f.e.Submit(f.job(fmt.Sprintf("j%d", i), 1, small), f.now)
	}
	f.e.Tick(f.now)
	for _, j := range f.e.jobList {
		for _, s := range j.stageList {
			for _, task := range s.tasks {
				task.checkpoint = "00000bb87a21d94b"
			}
		}
		f.e.markChanged(j)
	}
	written := 0
	for b := f.e.Flush(); b != nil; b = f.e.Flush() {
		size := 0
		for _, c := range b.Progress {
			value, err := c.Progress.MarshalMsg(nil)
			is.NoErr(err)
			is.True(len(value) <= storeRowLimit)
			size += len(value)
			written++
		}
		is.True(size <= 700<<10) // two thirds of a transaction
		f.e.MarkCommitted(b)
	}
	is.Equal(written, 40)
}

func TestRestoreKeepsProgress(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	second := step(3, 2)
	second.After = []int{0}
	f.e.Submit(f.job("j", 1, step(2, 4), second), f.now)
	f.tick()
	for i := range 2 {
		f.report(node(i), nil, map[wire.TaskID]wire.RunEnd{{Job: "j", Index: 0}: wire.EndDone, {Job: "j", Index: 1}: wire.EndDone})
	}
	f.tick()
	before := f.runs("j")
	f.restart()
	is.Equal(f.e.jobs["j"].stages[stageKey{0, 0}].tasksLeft, 0)
	is.Equal(len(f.runs("j")), 3)
	for i, r := range f.runs("j") {
		is.Equal(r.worker.Node, before[i].worker.Node)
		is.Equal(r.number, before[i].number)
	}
}

// TestPendingCountsRefusedJobs guards against a job that is left out of the number of
// pending ones although no task of it has started: its worker refuses all starts.
func TestPendingCountsRefusedJobs(t *testing.T) {
	id := wire.TaskID{Job: "j"}
	run := func(r *wire.WorkerReport) { r.Running = []wire.RunningTask{{Task: id, Run: 1}} }
	tests := map[string]struct {
		report  func(r *wire.WorkerReport) // by the worker on which it was placed
		restart bool                       // the scheduler, after the report
		pending int
	}{
		"start not reported yet": {report: func(r *wire.WorkerReport) { r.Running = nil }, pending: 1},
		"refused": {
			report: func(r *wire.WorkerReport) {
				r.Running, r.Refused = nil, []wire.RefusedRun{{Task: id, Run: 1, Reason: "unhealthy"}}
			},
			pending: 1,
		},
		"refused, new scheduler": {
			restart: true,
			report: func(r *wire.WorkerReport) {
				r.Running, r.Refused = nil, []wire.RefusedRun{{Task: id, Run: 1, Reason: "unhealthy"}}
			},
			pending: 1,
		},
		"started": {report: run},
		"failed": {
			report: func(r *wire.WorkerReport) {
				r.Running, r.Ended = nil, []wire.EndedRun{{Number: 1, Task: id, Run: 1, End: wire.EndFailed}}
			},
		},
		"failed, new scheduler": {
			restart: true,
			report: func(r *wire.WorkerReport) {
				r.Running, r.Ended = nil, []wire.EndedRun{{Number: 1, Task: id, Run: 1, End: wire.EndFailed}}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
			is.Equal(f.e.Pending("q"), 1)
			f.tick()
			f.report(node(0), tt.report, nil)
			f.commit()
			if tt.restart {
				f.restart()
			}
			is.Equal(f.e.Pending("q"), tt.pending)
		})
	}
}

// TestGangMembersThatFailTogetherAreOneAttempt guards against a job that fails before
// its attempts are used, because two members of a gang fail in the same run.
func TestGangMembersThatFailTogetherAreOneAttempt(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("j", 1, gang(2, 2)), f.now) // two attempts
	fail := func() {
		f.tick()
		is.Equal(len(f.runs("j")), 2)
		f.report(node(0), nil, nil)
		f.now = f.now.Add(time.Second)
		f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndFailed, {Job: "j", Index: 1}: wire.EndFailed})
		f.now = f.now.Add(10 * time.Second)
		f.report(node(0), nil, nil)
	}
	fail()
	f.tick()
	is.Equal(f.state("j"), wire.JobRunning)
	fail()
	f.tick()
	is.Equal(f.state("j"), wire.JobFailed)
}

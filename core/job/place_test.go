package job

import (
	"fmt"
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestGangPlacement(t *testing.T) {
	tests := map[string]struct {
		workers int
		step    wire.JobStep
		placed  int
		racks   int
	}{
		"fits":                         {workers: 3, step: gang(3, 8), placed: 3, racks: 1},
		"one member too many":          {workers: 3, step: gang(4, 8), placed: 0},
		"several members on a worker":  {workers: 3, step: gang(6, 4), placed: 6, racks: 1},
		"one rack":                     {workers: 6, step: sameRack(gang(3, 8)), placed: 3, racks: 1},
		"larger than any rack":         {workers: 6, step: sameRack(gang(4, 8)), placed: 4, racks: 2},
		"at most one task on a worker": {workers: 2, step: onePerWorker(gang(3, 1)), placed: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(tt.workers)
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			f.tick()
			is.Equal(len(f.runs("j")), tt.placed)
			racks := make(map[string]bool)
			for _, r := range f.runs("j") {
				racks[r.worker.Rack] = true
				is.Equal(r.number, 1)
			}
			is.Equal(len(racks), tt.racks)
		})
	}
}

func sameRack(s wire.JobStep) wire.JobStep {
	s.SameRack = true
	return s
}

func onePerWorker(s wire.JobStep) wire.JobStep {
	s.MaxPerWorker = 1
	return s
}

func TestGuaranteePreemptsOtherWork(t *testing.T) {
	tests := map[string]struct {
		guaranteed int
		stopped    int
	}{
		"within the guarantee": {guaranteed: 8, stopped: 1},
		"beyond it":            {guaranteed: 4, stopped: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(1)
			f.e.SetGuarantees(map[string]int{"c": tt.guaranteed})
			f.e.Submit(f.job("long", 1, step(1, 8)), f.now)
			f.tick()
			f.report(node(0), nil, nil)
			urgent := f.job("urgent", 0, step(1, 8))
			urgent.Stretch = 100
			f.e.Submit(urgent, f.now)
			f.tick()
			stopped := 0
			for _, r := range f.runs("long") {
				if r.phase == stopping {
					stopped++
				}
			}
			is.Equal(stopped, tt.stopped)
			if tt.stopped == 0 {
				return
			}
			// Other jobs must not take the freed room.
			f.e.Submit(f.job("other", 1, step(1, 8)), f.now)
			f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "long"}: wire.EndStopped})
			f.tick()
			is.Equal(len(f.runs("urgent")), 1)
			is.Equal(len(f.runs("other")), 0)
		})
	}
}

// TestGuaranteePreemptsUrgentWorkBeyondGuarantee checks that a customer gets its
// guarantee although urgent work of another customer fills all workers, but only
// if that work exceeds the other customer's guarantee.
func TestGuaranteePreemptsUrgentWorkBeyondGuarantee(t *testing.T) {
	tests := map[string]struct {
		others  int // accelerators guaranteed to the other customer
		stopped int
	}{
		"beyond its guarantee": {others: 8, stopped: 1},
		"within its guarantee": {others: 24, stopped: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.workers(3)
			f.e.SetGuarantees(map[string]int{"c": 8, "other": tt.others})
			borrowed := f.job("borrowed", 0, step(3, 8))
			borrowed.Customer, borrowed.Stretch = "other", 100
			f.e.Submit(borrowed, f.now)
			f.tick()
			f.workers(3)
			f.e.Submit(f.job("own", 0, step(1, 8)), f.now)
			f.tick()
			stopped := 0
			for _, r := range f.runs("borrowed") {
				if r.phase == stopping {
					stopped++
				}
			}
			is.Equal(stopped, tt.stopped)
		})
	}
}

func TestLargeTaskNotStarvedBySmallOnes(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("a", 1, step(4, 1)), f.now)
	f.e.Submit(f.job("b", 1, step(4, 1)), f.now)
	f.tick()
	f.report(node(0), nil, nil)
	f.now = f.now.Add(time.Second)
	f.e.Submit(f.job("large", 1, step(1, 8)), f.now)
	f.tick()
	ends := make(map[wire.TaskID]wire.RunEnd)
	for i := range 4 {
		ends[wire.TaskID{Job: "a", Index: i}] = wire.EndDone
	}
	f.now = f.now.Add(time.Second)
	f.e.Submit(f.job("small", 1, step(4, 1)), f.now)
	f.report(node(0), nil, ends)
	f.tick()
	is.Equal(len(f.runs("small")), 0) // would still run when the large task can start
	for i := range 4 {
		ends[wire.TaskID{Job: "b", Index: i}] = wire.EndDone
	}
	f.report(node(0), nil, ends)
	f.tick()
	is.Equal(len(f.runs("large")), 1)
}

func TestAcceptanceTimeFromClockAhead(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	ahead := f.job("ahead", 1, step(1, 8))
	ahead.Accepted = f.now.Add(time.Hour)
	f.e.Submit(ahead, f.now)
	f.now = f.now.Add(time.Second)
	f.e.Submit(f.job("later", 1, step(1, 8)), f.now)
	f.tick()
	is.Equal(len(f.runs("ahead")), 1) // it was submitted first
}

func TestJobFailsAfterLastAttempt(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(3)
	f.e.Submit(f.job("j", 1, step(1, 1)), f.now)
	for range 2 {
		f.now = f.now.Add(5 * time.Second)
		f.workers(3)
		f.tick()
		is.Equal(len(f.runs("j")), 1)
		for i := range 3 {
			f.report(node(i), nil, map[wire.TaskID]wire.RunEnd{{Job: "j"}: wire.EndFailed})
		}
	}
	f.tick()
	is.Equal(f.state("j"), wire.JobFailed)
}

func TestRunNotReplacedBeforeLeaseLapses(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(2)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.tick()
	first := f.runs("j")[0]
	other := node(0)
	if first.worker.Node == other {
		other = node(1)
	}
	for range 21 { // the worker may continue until its lease lapses
		f.now = f.now.Add(500 * time.Millisecond)
		f.report(other, nil, nil)
		f.tick()
		is.Equal(f.runs("j")[0], first)
	}
	f.now = f.now.Add(time.Second)
	f.report(other, nil, nil)
	f.tick()
	is.Equal(f.runs("j")[0].worker.Node, other)
	is.Equal(f.runs("j")[0].number, 2)
}

func TestCancelRunningAndWaitingJobs(t *testing.T) {
	is := is.New(t)
	f := newTestCluster(t)
	f.workers(1)
	f.e.Submit(f.job("runs", 1, step(1, 8)), f.now)
	f.e.Submit(f.job("waits", 1, step(1, 8)), f.now)
	f.tick()
	f.report(node(0), nil, nil)
	f.e.Cancel("runs", f.now)
	f.e.Cancel("waits", f.now)
	f.tick()
	is.Equal(f.state("waits"), wire.JobCancelled)
	o, _ := f.e.Orders(node(0))
	is.Equal(len(o.Stops), 1)
	f.report(node(0), nil, map[wire.TaskID]wire.RunEnd{{Job: "runs"}: wire.EndStopped})
	f.tick()
	is.Equal(len(f.runs("waits")), 0)
}

// TestInvariants applies random events to the engine, including restarts that keep
// only committed state, and checks invariants after each.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestCluster(t)
		n := rapid.IntRange(1, 6).Draw(rt, "workers")
		f.workers(n)
		jobs := 0
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				s := step(rapid.IntRange(1, 9).Draw(rt, "count"), rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators"))
				s.Gang = rapid.Bool().Draw(rt, "gang")
				s.SameRack = s.Gang && rapid.Bool().Draw(rt, "same_rack")
				s.MaxPerWorker = rapid.IntRange(0, 2).Draw(rt, "spread")
				jobs++
				f.e.Submit(f.job(fmt.Sprintf("j%d", jobs), rapid.IntRange(0, 2).Draw(rt, "priority"), s), f.now)
			},
			"report": func(rt *rapid.T) {
				name := node(rapid.IntRange(0, n-1).Draw(rt, "node"))
				ends := make(map[wire.TaskID]wire.RunEnd)
				if w := f.e.workers[name]; w != nil {
					for id, r := range w.runs {
						if !r.durable() || !rapid.Bool().Draw(rt, "ends") {
							continue
						}
						ends[id] = rapid.SampledFrom([]wire.RunEnd{wire.EndDone, wire.EndFailed, wire.EndStopped, wire.EndLeaseExpired}).Draw(rt, "how")
					}
				}
				f.report(name, nil, ends)
			},
			"tick":   func(*rapid.T) { f.tick() },
			"decide": func(*rapid.T) { f.e.Tick(f.now) },
			"wait": func(rt *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"cancel": func(rt *rapid.T) {
				f.e.Cancel(fmt.Sprintf("j%d", rapid.IntRange(1, max(jobs, 1)).Draw(rt, "job")), f.now)
			},
			"withdraw": func(rt *rapid.T) {
				jobs++
				id := fmt.Sprintf("j%d", jobs)
				f.e.Submit(f.job(id, rapid.IntRange(0, 2).Draw(rt, "priority"), step(rapid.IntRange(1, 4).Draw(rt, "count"), 2)), f.now)
				f.e.Tick(f.now)
				f.e.Withdraw(id, nil)
				if _, _, known := f.e.State(id); known {
					rt.Fatalf("job %s is still known after withdrawal", id)
				}
			},
			"restart": func(*rapid.T) {
				f.commit()
				f.restart()
			},
			"": func(rt *rapid.T) { checkInvariants(rt, f) },
		})
	})
}

func checkInvariants(rt *rapid.T, f *testCluster) {
	for _, w := range f.e.workers {
		var used wire.Resources
		perStage := make(map[*stage]int)
		for id, r := range w.runs {
			used = add(used, demand(r.task.stage.step))
			perStage[r.task.stage]++
			if r.task.run != r || r.worker != w {
				rt.Fatalf("task %v: run differs between the task and the worker table", id)
			}
		}
		if used != w.used {
			rt.Fatalf("worker %s: runs use %v, worker row has %v", w.Node, used, w.used)
		}
		if w.reported && fitCount(sub(w.Capacity, used), wire.Resources{}) == 0 {
			rt.Fatalf("worker %s: runs exceed its capacity", w.Node)
		}
		for s, n := range perStage {
			if s.step.MaxPerWorker > 0 && n > s.step.MaxPerWorker {
				rt.Fatalf("worker %s: %d tasks of a stage, limit %d", w.Node, n, s.step.MaxPerWorker)
			}
		}
	}
	for _, j := range f.e.jobList {
		for _, s := range j.stageList {
			checkStage(rt, s)
		}
	}
}

func checkStage(rt *rapid.T, s *stage) {
	active := 0
	numbers := make(map[int]bool)
	for _, t := range s.tasks {
		if t.run == nil {
			continue
		}
		active++
		numbers[t.run.number] = true
		if t.done && !s.step.Gang {
			rt.Fatalf("task %v is done but has an active run", t.id())
		}
	}
	if active != s.activeRuns {
		rt.Fatalf("stage of job %s: %d active runs, counter is %d", s.job.ID, active, s.activeRuns)
	}
	if s.step.Gang && len(numbers) > 1 {
		rt.Fatalf("gang of job %s: members have different run numbers %v", s.job.ID, numbers)
	}
}

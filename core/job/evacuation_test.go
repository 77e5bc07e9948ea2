package job

import (
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

const testEvacuationLimit = 5 * time.Second

// newZoneCluster returns a cluster with an evacuation limit and n workers of 8
// accelerators, alternately in the zones a and b, each with one rack.
func newZoneCluster(t *testing.T, n int) *testCluster {
	f := newTestCluster(t)
	f.e.cfg.EvacuationLimit = testEvacuationLimit
	f.evacuate()
	for i := range n {
		f.reportZone(i, func(*wire.WorkerReport) {})
	}
	return f
}

func (f *testCluster) reportZone(i int, change func(*wire.WorkerReport)) {
	f.report(node(i), func(r *wire.WorkerReport) {
		r.Worker.Zone = string(rune('a' + i%2))
		r.Worker.Rack = "rack-" + r.Worker.Zone
		change(r)
	}, nil)
}

// evacuate sets the evacuated zones, as just read.
func (f *testCluster) evacuate(zones ...string) {
	set := make(map[string]time.Time)
	for _, zone := range zones {
		set[zone] = f.now
	}
	f.e.SetEvacuated(Evacuation{Read: true, Zones: set}, f.now)
}

// zones returns the number of active runs of a job by zone.
func (f *testCluster) zones(id string) map[string]int {
	n := make(map[string]int)
	for _, r := range f.runs(id) {
		n[r.worker.Zone]++
	}
	return n
}

// TestEvacuationOfPlacedRuns evacuates zone a after tasks were placed on one worker of
// each zone. It guards against starts in the zone, also by a successor, against stops of
// work that runs there, against a second run while the first may still start, and
// against work that is not placed again.
func TestEvacuationOfPlacedRuns(t *testing.T) {
	tests := map[string]struct {
		step      wire.JobStep
		listed    []int // workers that have started their tasks
		successor bool
		stopped   int // runs
	}{
		"not started":                       {step: step(2, 8), stopped: 1},
		"not started, by a former one":      {step: step(2, 8), successor: true, stopped: 1},
		"started":                           {step: step(2, 8), listed: []int{0, 1}},
		"gang with a member not started":    {step: gang(2, 8), listed: []int{1}, stopped: 2},
		"gang started in the evacuated one": {step: gang(2, 8), listed: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newZoneCluster(t, 2)
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			f.tick()
			if tt.successor {
				f.restart()
				f.e.cfg.EvacuationLimit = testEvacuationLimit
				f.e.SetEvacuated(Evacuation{}, f.now)
				f.reportZone(0, func(r *wire.WorkerReport) { r.Running = nil })
				o, _ := f.e.Orders(node(0))
				is.Equal(len(o.Starts), 0) // before it has read the table
			}
			for _, i := range tt.listed {
				f.reportZone(i, func(*wire.WorkerReport) {})
			}
			f.evacuate("a")
			o, _ := f.e.Orders(node(0))
			is.Equal(len(o.Starts), 0) // not even before the next tick
			f.tick()
			f.tick()
			stops := 0
			for i := range 2 {
				o, _ := f.e.Orders(node(i))
				stops += len(o.Stops)
			}
			is.Equal(stops, tt.stopped)
			for _, r := range f.runs("j") {
				is.Equal(r.number, 1) // no other run before the stop is certain
			}
			if name != "not started" {
				return
			}
			f.reportZone(0, func(r *wire.WorkerReport) {
				r.Running = nil
				r.Refused = []wire.RefusedRun{{Task: f.runs("j")[0].task.id(), Run: 1, Reason: "stopped"}}
			})
			f.now = f.now.Add(time.Second)
			f.reportZone(3, func(*wire.WorkerReport) {})
			f.evacuate("a")
			f.tick()
			is.Equal(f.zones("j"), map[string]int{"b": 2})
		})
	}
}

// TestEvacuatedSetIsExact guards against a zone that stays evacuated, or returns, with
// another one.
func TestEvacuatedSetIsExact(t *testing.T) {
	for _, zones := range [][]string{{"a"}, {"a", "b"}, {"b"}, {"a"}, {}, {"", "nowhere"}} {
		f := newZoneCluster(t, 2)
		f.evacuate("a", "b")
		f.tick()
		f.evacuate(zones...)
		want := map[string]int{"a": 1, "b": 1}
		for _, zone := range zones {
			delete(want, zone)
		}
		f.e.Submit(f.job("j", 1, step(2, 8)), f.now)
		f.tick()
		is.New(t).Equal(f.zones("j"), want)
	}
}

// TestPlacementNeedsCurrentEvacuationState guards against starts that are decided or
// ordered by a scheduler that does not know the evacuated zones, and against a pause
// where no limit is configured.
func TestPlacementNeedsCurrentEvacuationState(t *testing.T) {
	tests := map[string]struct {
		limit time.Duration
		state Evacuation
		works bool
	}{
		"current":            {limit: testEvacuationLimit, state: Evacuation{Read: true, Age: time.Second}, works: true},
		"old":                {limit: testEvacuationLimit, state: Evacuation{Read: true, Age: testEvacuationLimit / 2}},
		"not read":           {limit: testEvacuationLimit},
		"old, no limit":      {state: Evacuation{Read: true, Age: time.Hour}, works: true},
		"not read, no limit": {works: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			f.e.cfg.EvacuationLimit = tt.limit
			f.workers(1)
			for i, state := range []Evacuation{tt.state, {Read: true}, tt.state, {Read: true}} {
				f.e.SetEvacuated(state, f.now)
				if i == 0 {
					f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
				}
				if i < 2 {
					f.tick()
				}
				o, _ := f.e.Orders(node(0)) // what was placed in time is not ordered later either
				is.Equal(len(o.Starts) == 1, tt.works || i%2 == 1)
			}
		})
	}
}

// TestRemainingZonesServeEvacuatedWork guards against work that waits for room, data or
// a hold in the evacuated zone while the other zone could run it.
func TestRemainingZonesServeEvacuatedWork(t *testing.T) {
	bound, near := step(1, 5), sameRack(gang(2, 4))
	bound.DataRack, near.DataRack = "rack-a", "rack-a"
	for name, s := range map[string]wire.JobStep{"step bound to a rack": bound, "gang bound to a rack": near} {
		t.Run(name, func(t *testing.T) {
			f := newZoneCluster(t, 2)
			f.evacuate("a")
			f.e.Submit(f.job("j", 1, s), f.now)
			f.tick()
			is := is.New(t)
			is.Equal(f.zones("j"), map[string]int{"b": s.Count})
			is.True(!f.e.mostlyIdle("podcheck")) // the empty zone is no room
		})
	}
	t.Run("urgent work within its guarantee", func(t *testing.T) {
		is := is.New(t)
		f := newZoneCluster(t, 2)
		f.e.SetGuarantees(map[string]int{"c": 8})
		f.e.Submit(f.job("busy", 1, step(2, 8)), f.now)
		f.tick()
		for i := range 2 {
			f.reportZone(i, func(*wire.WorkerReport) {})
		}
		f.e.Submit(f.job("urgent", 0, step(1, 8)), f.now)
		f.tick()
		s := f.e.jobs["urgent"].stageList[0]
		zone := ""
		for w := range s.heldTasks {
			zone = w.Zone
		}
		f.evacuate(zone)
		f.tick()
		is.Equal(len(s.heldTasks), 1)
		for w := range s.heldTasks {
			is.True(w.Zone != zone)
		}
	})
}

// TestColdWorkersAreUsedLast guards against work on a slow worker of a zone that has
// returned while others have room, and against cold workers that are never used.
func TestColdWorkersAreUsedLast(t *testing.T) {
	tests := map[string]struct {
		step  wire.JobStep
		zones map[string]int // zone a is cold
	}{
		"warm workers first":             {step: step(1, 4), zones: map[string]int{"b": 1}},
		"cold ones when they are full":   {step: step(4, 4), zones: map[string]int{"a": 2, "b": 2}},
		"gang on warm workers":           {step: gang(2, 4), zones: map[string]int{"b": 2}},
		"gang that needs the cold ones":  {step: gang(3, 4), zones: map[string]int{"a": 1, "b": 2}},
		"gang of a rack on warm workers": {step: sameRack(gang(2, 4)), zones: map[string]int{"b": 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newZoneCluster(t, 2)
			f.reportZone(0, func(r *wire.WorkerReport) { r.Worker.ColdRemaining = time.Minute })
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			f.tick()
			is.New(t).Equal(f.zones("j"), tt.zones)
		})
	}
}

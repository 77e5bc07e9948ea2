package job

import (
	"testing"
	"time"

	"bramleythread/io/wire"

	"github.com/matryer/is"
)

const testEvacuationLimit = 5 * time.Second

// newZoneCluster returns a cluster with an evacuation limit and n workers of 8
// accelerators, alternately in the zones a and b.
func newZoneCluster(t *testing.T, n int) *testCluster {
	f := newTestCluster(t)
	cfg := f.config()
	cfg.EvacuationLimit = testEvacuationLimit
	f.e = New(cfg, f.now)
	f.evacuate()
	for i := range n {
		f.reportZone(i, nil)
	}
	return f
}

// reportZone reports a worker of zone a or b, each with one rack, and lists all its
// runs if listed is nil.
func (f *testCluster) reportZone(i int, change func(*wire.WorkerReport)) {
	f.report(node(i), func(r *wire.WorkerReport) {
		r.Worker.Zone = string(rune('a' + i%2))
		r.Worker.Rack = "rack-" + r.Worker.Zone
		if change != nil {
			change(r)
		}
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

func unlisted(r *wire.WorkerReport) { r.Running = nil }

// refusedRuns lists runs as refused, as an agent does after a stop that came before
// the start.
func refusedRuns(runs ...*run) func(*wire.WorkerReport) {
	return func(r *wire.WorkerReport) {
		r.Running = nil
		for _, x := range runs {
			r.Refused = append(r.Refused, wire.RefusedRun{Task: x.task.id(), Run: x.number, Reason: "stopped"})
		}
	}
}

// TestEvacuationOfPlacedRuns evacuates zone a after tasks were placed on one worker of
// each zone. It guards against starts in the zone, against stops of work that already
// runs there, and against a second run while the first may still start.
func TestEvacuationOfPlacedRuns(t *testing.T) {
	tests := map[string]struct {
		step    wire.JobStep
		listed  []int // workers that have started their tasks
		stopped []string
	}{
		"not started":                       {step: step(2, 8), stopped: []string{"a"}},
		"started":                           {step: step(2, 8), listed: []int{0, 1}},
		"started in the other zone only":    {step: step(2, 8), listed: []int{1}, stopped: []string{"a"}},
		"gang with a member not started":    {step: gang(2, 8), listed: []int{1}, stopped: []string{"a", "b"}},
		"gang started in the evacuated one": {step: gang(2, 8), listed: []int{0}},
		"gang started":                      {step: gang(2, 8), listed: []int{0, 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newZoneCluster(t, 2)
			f.e.Submit(f.job("j", 1, tt.step), f.now)
			f.tick()
			is.Equal(len(f.runs("j")), 2)
			for _, i := range tt.listed {
				f.reportZone(i, nil)
			}
			f.evacuate("a")
			o, _ := f.e.Orders(node(0))
			is.Equal(len(o.Starts), 0) // not even before the next tick
			f.tick()
			var stopped []string
			for _, i := range []int{0, 1} {
				o, _ := f.e.Orders(node(i))
				if len(o.Stops) > 0 {
					stopped = append(stopped, f.e.workers[node(i)].Zone)
				}
			}
			is.Equal(stopped, tt.stopped)
			f.tick()
			for _, r := range f.runs("j") {
				is.Equal(r.number, 1) // no other run before the stop is certain
			}
		})
	}
}

// TestStoppedRunGoesElsewhere guards against a run that is stopped for an evacuation
// and never placed again, or is placed in the evacuated zone.
func TestStoppedRunGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := newZoneCluster(t, 1)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.tick()
	first := f.runs("j")[0]
	f.evacuate("a")
	f.tick()
	f.reportZone(1, nil)
	f.reportZone(0, refusedRuns(first))
	f.now = f.now.Add(time.Second)
	f.evacuate("a")
	f.reportZone(0, nil)
	f.reportZone(1, nil)
	f.tick()
	is.Equal(f.runs("j")[0].worker.Zone, "b")
	is.Equal(f.runs("j")[0].number, 2)
}

// TestEvacuatedSetIsExact follows evacuations and returns that come close together. It
// guards against a zone that stays evacuated, or returns, with another one.
func TestEvacuatedSetIsExact(t *testing.T) {
	is := is.New(t)
	f := newZoneCluster(t, 2)
	for i, zones := range [][]string{{"a"}, {"a", "b"}, {"b"}, {"a"}, {}, {"", "nowhere"}} {
		f.now = f.now.Add(300 * time.Millisecond)
		f.reportZone(0, nil)
		f.reportZone(1, nil)
		f.evacuate(zones...)
		id := string(rune('j' + i))
		f.e.Submit(f.job(id, 1, step(2, 1)), f.now)
		f.tick()
		placed := make(map[string]bool)
		for _, r := range f.runs(id) {
			placed[r.worker.Zone] = true
		}
		for _, zone := range zones {
			is.True(!placed[zone])
		}
		is.Equal(len(placed) > 0, len(zones) < 2 || zones[0] == "")
		f.e.Cancel(id, f.now)
	}
}

// TestPlacementNeedsCurrentEvacuationState guards against starts that are decided or
// ordered by a scheduler that does not know the evacuated zones, and against a pause
// where no limit is configured.
func TestPlacementNeedsCurrentEvacuationState(t *testing.T) {
	old := Evacuation{Read: true, Age: testEvacuationLimit/2 + time.Second}
	tests := map[string]struct {
		limit time.Duration
		state *Evacuation // nil if it is never set
		works bool
	}{
		"current":               {limit: testEvacuationLimit, state: &Evacuation{Read: true, Age: time.Second}, works: true},
		"old":                   {limit: testEvacuationLimit, state: &old},
		"not read yet":          {limit: testEvacuationLimit, state: &Evacuation{}},
		"not set yet":           {limit: testEvacuationLimit},
		"old, without a limit":  {state: &old, works: true},
		"not set, without them": {works: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestCluster(t)
			cfg := f.config()
			cfg.EvacuationLimit = tt.limit
			f.e = New(cfg, f.now)
			f.workers(1)
			if tt.state != nil {
				f.e.SetEvacuated(*tt.state, f.now)
			}
			f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
			f.tick()
			is.Equal(len(f.runs("j")) == 1, tt.works)

			// What was placed in time is not ordered later, until the state is known.
			f.e.SetEvacuated(Evacuation{Read: true}, f.now)
			f.tick()
			if tt.state != nil {
				f.e.SetEvacuated(*tt.state, f.now)
			}
			o, _ := f.e.Orders(node(0))
			is.Equal(len(o.Starts) == 1, tt.works || tt.state == nil)
			f.e.SetEvacuated(Evacuation{Read: true}, f.now)
			o, _ = f.e.Orders(node(0))
			is.Equal(len(o.Starts), 1)
		})
	}
}

// TestSuccessorStopsUnstartedRunInEvacuatedZone guards against a start that the former
// scheduler has decided and the new one orders after the evacuation.
func TestSuccessorStopsUnstartedRunInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	f := newZoneCluster(t, 1)
	f.e.Submit(f.job("j", 1, step(1, 8)), f.now)
	f.tick()
	f.restart()
	f.e.cfg.EvacuationLimit = testEvacuationLimit
	f.e.SetEvacuated(Evacuation{}, f.now)
	f.reportZone(0, unlisted)
	f.tick()
	o, _ := f.e.Orders(node(0))
	is.Equal(len(o.Starts)+len(o.Stops), 0)
	f.evacuate("a")
	f.tick()
	o, _ = f.e.Orders(node(0))
	is.Equal(len(o.Starts), 0)
	is.Equal(len(o.Stops), 1)
}

// TestRemainingZonesServeEvacuatedWork guards against work that waits for room, data or
// a hold in the evacuated zone while the other zone could run it.
func TestRemainingZonesServeEvacuatedWork(t *testing.T) {
	bound := step(1, 4)
	bound.DataRack = "rack-a"
	near := sameRack(gang(2, 4))
	near.DataRack = "rack-a"
	tests := map[string]struct {
		step     wire.JobStep
		priority int
		busy     int // accelerators in use in zone b
	}{
		"step bound to a rack of the zone": {step: bound, priority: 1},
		"gang bound to a rack of the zone": {step: near, priority: 1},
		"urgent work within its guarantee": {step: step(1, 4), busy: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newZoneCluster(t, 2)
			f.e.SetGuarantees(map[string]int{"c": 8})
			background := step(1, tt.busy)
			background.Checkpoints = true
			f.evacuate("a")
			if tt.busy > 0 {
				f.e.Submit(f.job("busy", 1, background), f.now)
				f.tick()
				f.reportZone(1, nil)
			}
			is.Equal(f.e.mostlyIdle("podcheck"), tt.busy == 0) // the empty zone is no room
			j := f.job("j", tt.priority, tt.step)
			f.e.Submit(j, f.now)
			f.tick()
			if tt.busy > 0 {
				is.Equal(f.runs("busy")[0].phase, stopping)
				f.reportZone(1, refusedRuns(f.runs("busy")[0]))
				f.now = f.now.Add(time.Second)
				f.reportZone(1, nil)
				f.evacuate("a")
				f.tick()
			}
			is.Equal(len(f.runs("j")), tt.step.Count)
			for _, r := range f.runs("j") {
				is.Equal(r.worker.Zone, "b")
			}
		})
	}
}

// TestHoldInEvacuatedZoneIsReleased guards against urgent work that waits for its held
// room in the zone instead of making room elsewhere.
func TestHoldInEvacuatedZoneIsReleased(t *testing.T) {
	is := is.New(t)
	f := newZoneCluster(t, 2)
	f.e.SetGuarantees(map[string]int{"c": 8})
	f.e.Submit(f.job("busy", 1, step(2, 8)), f.now)
	f.tick()
	f.reportZone(0, nil)
	f.reportZone(1, nil)
	f.e.Submit(f.job("urgent", 0, step(1, 8)), f.now)
	f.tick()
	s := f.e.jobs["urgent"].stageList[0]
	is.Equal(s.heldTasks[f.e.workers[node(0)]]+s.heldTasks[f.e.workers[node(1)]], 1)
	held := "a"
	if s.heldTasks[f.e.workers[node(1)]] == 1 {
		held = "b"
	}
	f.evacuate(held)
	f.tick()
	for w := range s.heldTasks {
		is.True(w.Zone != held)
	}
	is.Equal(len(s.heldTasks), 1) // in the other zone
}

// TestColdWorkersAreUsedLast guards against work that is placed on a slow worker of a
// zone that has returned while others have room, and against cold workers that are
// never used.
func TestColdWorkersAreUsedLast(t *testing.T) {
	tests := map[string]struct {
		steps []wire.JobStep
		zones string // of the tasks
	}{
		"warm workers first":             {steps: []wire.JobStep{step(1, 4)}, zones: "b"},
		"cold ones when they are full":   {steps: []wire.JobStep{step(4, 4)}, zones: "bbaa"},
		"gang on warm workers":           {steps: []wire.JobStep{gang(2, 4)}, zones: "bb"},
		"gang that needs the cold ones":  {steps: []wire.JobStep{gang(3, 4)}, zones: "abb"},
		"gang of a rack on warm workers": {steps: []wire.JobStep{sameRack(gang(2, 4))}, zones: "bb"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newZoneCluster(t, 2)
			f.reportZone(0, func(r *wire.WorkerReport) { r.Worker.ColdRemaining = time.Minute })
			f.e.Submit(f.job("j", 1, tt.steps...), f.now)
			f.tick()
			count := func(zone string) (n int) {
				for _, r := range f.runs("j") {
					if r.worker.Zone == zone {
						n++
					}
				}
				return n
			}
			for _, zone := range []string{"a", "b"} {
				want := 0
				for _, x := range tt.zones {
					if string(x) == zone {
						want++
					}
				}
				is.Equal(count(zone), want)
			}
		})
	}
}

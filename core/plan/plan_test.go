package plan

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bramleythread/core/config"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// randomConfig returns a configuration with random racks, customers, shapes and
// guarantees.
func randomConfig(t *rapid.T) *config.Config {
	cfg := &config.Config{Limits: config.DefaultLimits()}
	for i := range rapid.IntRange(1, 5).Draw(t, "racks") {
		cfg.Racks = append(cfg.Racks, config.Rack{
			Name:     fmt.Sprintf("r%d", i),
			Zone:     fmt.Sprintf("z%d", i%3),
			Workers:  rapid.IntRange(1, 4).Draw(t, "workers"),
			Capacity: config.Demand{Slots: 8, Accelerators: 8},
		})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "shapes") {
		a := rapid.IntRange(1, 8).Draw(t, "accelerators")
		cfg.Shapes = append(cfg.Shapes, config.Shape{
			Name:     fmt.Sprintf("s%d", i),
			Workers:  rapid.IntRange(1, 3).Draw(t, "members"),
			Demand:   config.Demand{Slots: rapid.IntRange(1, a).Draw(t, "slots"), Accelerators: a},
			SameRack: rapid.Bool().Draw(t, "same_rack"),
		})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "customers") {
		name := fmt.Sprintf("c%d", i)
		cfg.Customers = append(cfg.Customers, config.Customer{Name: name, Weight: 1})
		for _, s := range cfg.Shapes {
			cfg.Guarantees = append(cfg.Guarantees, config.Guarantee{
				Customer: name, Shape: s.Name, Count: rapid.IntRange(0, 3).Draw(t, "count"),
			})
		}
	}
	return cfg
}

// checkPlan fails the test if homes overlap or do not match their shape.
func checkPlan(t *rapid.T, cfg *config.Config, fleet []Worker, p *Plan) {
	free := make(map[string]config.Demand)
	rack := make(map[string]string)
	for _, w := range fleet {
		free[w.Name] = w.Capacity
		rack[w.Name] = w.Rack
	}
	for _, h := range p.Homes {
		shape := cfg.Shape(h.Shape)
		if len(h.Workers) != shape.Workers || h.Demand != shape.Demand {
			t.Fatalf("home %v does not match its shape", h)
		}
		if len(slices.Compact(slices.Sorted(slices.Values(h.Workers)))) != shape.Workers {
			t.Fatalf("home %v contains a worker twice", h)
		}
		for _, name := range h.Workers {
			if shape.SameRack && rack[name] != rack[h.Workers[0]] {
				t.Fatalf("home %v spans several racks", h)
			}
			if !h.Demand.Fits(free[name]) {
				t.Fatalf("home %v exceeds the capacity of a worker", h)
			}
			free[name] = free[name].Sub(h.Demand)
		}
	}
	total := 0
	for _, g := range cfg.Guarantees {
		total += g.Count
	}
	if total != len(p.Homes)+len(p.Missing) {
		t.Fatalf("%d guaranteed shapes, but %d homes and %d missing shapes", total, len(p.Homes), len(p.Missing))
	}
}

func TestPlanIsValidAndIndependentOfFleetOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := randomConfig(t)
		fleet := NominalFleet(cfg)
		p := Make(cfg, 1, fleet, nil)
		checkPlan(t, cfg, fleet, p)
		shuffled := slices.Clone(fleet)
		slices.Reverse(shuffled)
		if again := Make(cfg, 1, shuffled, nil); !SameHomes(p, again) {
			t.Fatalf("the plan depends on the order of the fleet")
		}
		if next := Make(cfg, 1, fleet, p); !SameHomes(p, next) || next.Version != p.Version+1 {
			t.Fatalf("replanning without a change moved homes")
		}
	})
}

func TestReplanMovesOnlyHomesOfLostWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := randomConfig(t)
		fleet := NominalFleet(cfg)
		before := Make(cfg, 1, fleet, nil)
		lost := rapid.SampledFrom(fleet).Draw(t, "lost").Name
		remaining := slices.DeleteFunc(slices.Clone(fleet), func(w Worker) bool { return w.Name == lost })
		after := Make(cfg, 1, remaining, before)
		checkPlan(t, cfg, remaining, after)
		if len(after.Missing) > 0 {
			return // a plan from scratch may place more shapes and move other homes
		}
		for _, h := range before.Homes {
			if slices.Contains(h.Workers, lost) {
				continue
			}
			if kept := slices.ContainsFunc(after.Homes, func(x Home) bool { return sameHome(x, h) }); !kept && lostHomesFit(cfg, remaining, before) {
				t.Fatalf("home %v moved, but does not use the lost worker %s", h, lost)
			}
		}
	})
}

// lostHomesFit reports whether the lost homes can be placed without moving others.
func lostHomesFit(cfg *config.Config, fleet []Worker, prev *Plan) bool {
	return len(assign(guaranteedHomes(cfg), fleet, prev, placementOrders[0]).Missing) == 0
}

func TestInfeasibleErrorNamesFirstMissingShape(t *testing.T) {
	is := is.New(t)
	cfg := &config.Config{
		Racks:      []config.Rack{{Name: "r", Zone: "z", Workers: 2, Capacity: config.Demand{Slots: 8, Accelerators: 8}}},
		Customers:  []config.Customer{{Name: "a"}},
		Shapes:     []config.Shape{{Name: "three", Workers: 3, Demand: config.Demand{Slots: 1, Accelerators: 1}}},
		Guarantees: []config.Guarantee{{Customer: "a", Shape: "three", Count: 1}},
	}
	_, err := Check(cfg)
	is.True(err != nil)
	is.Equal(err.Error(), "plan: 1 guaranteed shapes do not fit, first three of a (instance 0)")
}

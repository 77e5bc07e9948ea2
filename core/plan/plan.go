// Package plan binds the customers' guaranteed shapes to home workers.
//
// A plan is a pure function of the configuration, the fleet and the plan
// before it. Work inside its customer's home is guaranteed; work anywhere else
// is borrowed and can be preempted.
package plan

import (
	"cmp"
	"fmt"
	"slices"

	"bramleythread/core/config"
)

// Worker is one machine of the fleet that the plan may use.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Capacity config.Demand
}

// Home is one instance of a guaranteed shape with the workers it is bound to.
type Home struct {
	Customer string        `json:"customer"`
	Shape    string        `json:"shape"`
	Instance int           `json:"instance"`
	Demand   config.Demand `json:"demand"` // on each worker
	Workers  []string      `json:"workers"`
}

// Missing is an instance of a guaranteed shape that has no home.
type Missing struct {
	Customer string `json:"customer"`
	Shape    string `json:"shape"`
	Instance int    `json:"instance"`
}

// Plan is a versioned binding of homes.
type Plan struct {
	Version       uint64    `json:"version"`
	ConfigVersion uint64    `json:"config_version"`
	Homes         []Home    `json:"homes"`
	Missing       []Missing `json:"missing,omitempty"`
}

// InfeasibleError tells of guaranteed shapes that cannot all be placed.
type InfeasibleError struct {
	Missing []Missing
}

// Error names the first shape that does not fit.
func (e *InfeasibleError) Error() string {
	m := e.Missing[0]
	return fmt.Sprintf("plan: %d guaranteed shapes do not fit, first %s of %s (instance %d)", len(e.Missing), m.Shape, m.Customer, m.Instance)
}

// want is one instance of a guaranteed shape that needs a home.
type want struct {
	customer string
	shape    config.Shape
	instance int
}

func (w want) size() int {
	return w.shape.Workers * (w.shape.Demand.Accelerators + w.shape.Demand.Slots)
}

// Make returns the plan of version prev.Version+1; prev may be nil. Homes of
// prev whose workers and guarantee still exist stay where they are, unless
// only a plan made from nothing can place more shapes.
func Make(cfg *config.Config, configVersion uint64, fleet []Worker, prev *Plan) *Plan {
	wants := guaranteed(cfg)
	best := assign(wants, fleet, prev, orders[0])
	for _, order := range orders {
		if len(best.Missing) == 0 {
			break
		}
		if p := assign(wants, fleet, nil, order); len(p.Missing) < len(best.Missing) {
			best = p
		}
	}
	best.ConfigVersion = configVersion
	if prev != nil {
		best.Version = prev.Version
	}
	best.Version++
	return best
}

// Check returns an *InfeasibleError if the configuration's guarantees cannot
// all be placed on its nominal fleet, and otherwise the plan that places them.
func Check(cfg *config.Config) (*Plan, error) {
	p := Make(cfg, 0, NominalFleet(cfg), nil)
	if len(p.Missing) > 0 {
		return nil, &InfeasibleError{Missing: p.Missing}
	}
	return p, nil
}

// NominalFleet returns the fleet that the configuration's racks describe.
func NominalFleet(cfg *config.Config) []Worker {
	var fleet []Worker
	for _, r := range cfg.Racks {
		for i := range r.Workers {
			fleet = append(fleet, Worker{
				Name:     fmt.Sprintf("%s-%d", r.Name, i+1),
				Zone:     r.Zone,
				Rack:     r.Name,
				Capacity: r.Capacity,
			})
		}
	}
	return fleet
}

// SameHomes reports whether two plans bind the same homes.
func SameHomes(a, b *Plan) bool {
	return slices.EqualFunc(a.Homes, b.Homes, sameHome) && slices.Equal(a.Missing, b.Missing)
}

func sameHome(a, b Home) bool {
	return a.Customer == b.Customer && a.Shape == b.Shape && a.Instance == b.Instance &&
		a.Demand == b.Demand && slices.Equal(a.Workers, b.Workers)
}

// HomeKey names the homes of one customer's shape.
type HomeKey struct {
	Customer string
	Shape    string
}

// HomesOnWorker returns what the plan binds to each shape of each customer on one
// worker.
func (p *Plan) HomesOnWorker(worker string) map[HomeKey]config.Demand {
	homes := make(map[HomeKey]config.Demand)
	for _, h := range p.Homes {
		if slices.Contains(h.Workers, worker) {
			k := HomeKey{Customer: h.Customer, Shape: h.Shape}
			homes[k] = homes[k].Add(h.Demand)
		}
	}
	return homes
}

// HomeCounts returns the number of homes on each worker that has any.
func (p *Plan) HomeCounts() map[string]int {
	counts := make(map[string]int)
	for _, h := range p.Homes {
		for _, name := range h.Workers {
			counts[name]++
		}
	}
	return counts
}

func guaranteed(cfg *config.Config) []want {
	var wants []want
	for _, g := range cfg.Guarantees {
		customer, shape := cfg.Customer(g.Customer), cfg.Shape(g.Shape)
		if g.Disabled || customer == nil || customer.Disabled || shape == nil {
			continue
		}
		for i := range g.Count {
			wants = append(wants, want{customer: g.Customer, shape: *shape, instance: i})
		}
	}
	return wants
}

// order compares two wants; the lesser is placed first.
type order func(a, b want) int

// orders are the placement orders that are tried in turn. Which of them packs
// a set of shapes depends on the set.
var orders = []order{
	func(a, b want) int {
		return cmp.Or(byRack(a, b), cmp.Compare(b.shape.Demand.Accelerators, a.shape.Demand.Accelerators), cmp.Compare(b.shape.Workers, a.shape.Workers))
	},
	func(a, b want) int { return cmp.Compare(b.size(), a.size()) },
	func(a, b want) int { return cmp.Compare(b.shape.Demand.Accelerators, a.shape.Demand.Accelerators) },
	func(a, b want) int {
		return cmp.Or(cmp.Compare(b.shape.Demand.Slots, a.shape.Demand.Slots), cmp.Compare(b.size(), a.size()))
	},
	func(a, b want) int {
		return cmp.Or(cmp.Compare(b.shape.Workers, a.shape.Workers), cmp.Compare(b.size(), a.size()))
	},
}

// byRack orders shapes that must lie in one rack before the others.
func byRack(a, b want) int { return config.CompareBool(!a.shape.SameRack, !b.shape.SameRack) }

// identity makes an order total, so that plans do not depend on input order.
func identity(a, b want) int {
	return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.shape.Name, b.shape.Name), cmp.Compare(a.instance, b.instance))
}

// Package plan binds the customers' guaranteed shapes to workers. A shape describes
// a number of workers and the resources on each of them; the workers bound to a
// guaranteed shape are its home.
//
// A plan is a pure function of the configuration, the fleet and the previous plan.
// Tasks inside their customer's home are guaranteed their resources; all other
// tasks borrow resources and can be preempted.
package plan

import (
	"cmp"
	"fmt"
	"slices"

	"bramleythread/core/config"
)

// Worker is a machine that the plan may use.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Capacity config.Demand
}

// Home is one instance of a guaranteed shape and the workers it is bound to.
type Home struct {
	Customer string        `json:"customer"`
	Shape    string        `json:"shape"`
	Instance int           `json:"instance"`
	Demand   config.Demand `json:"demand"` // on each worker
	Workers  []string      `json:"workers"`
}

// Missing is an instance of a guaranteed shape that could not be placed.
type Missing struct {
	Customer string `json:"customer"`
	Shape    string `json:"shape"`
	Instance int    `json:"instance"`
}

// Plan is a versioned assignment of homes to workers.
type Plan struct {
	Version       uint64    `json:"version"`
	ConfigVersion uint64    `json:"config_version"`
	Homes         []Home    `json:"homes"`
	Missing       []Missing `json:"missing,omitempty"`
}

// InfeasibleError reports that some guaranteed shapes cannot be placed.
type InfeasibleError struct {
	Missing []Missing
}

// Error returns the number of missing shapes and names the first.
func (e *InfeasibleError) Error() string {
	m := e.Missing[0]
	return fmt.Sprintf("plan: %d guaranteed shapes do not fit, first %s of %s (instance %d)", len(e.Missing), m.Shape, m.Customer, m.Instance)
}

// homeRequest is one instance of a guaranteed shape that needs a home.
type homeRequest struct {
	customer string
	shape    config.Shape
	instance int
}

func (r homeRequest) size() int {
	return r.shape.Workers * (r.shape.Demand.Accelerators + r.shape.Demand.Slots)
}

// Make returns the plan that follows prev, which may be nil. Homes whose workers and
// guarantee still exist stay where they are, unless only a plan from scratch can
// place more shapes. The version is one higher than that of prev.
func Make(cfg *config.Config, configVersion uint64, fleet []Worker, prev *Plan) *Plan {
	requests := guaranteedHomes(cfg)
	best := assign(requests, fleet, prev, placementOrders[0])
	for _, order := range placementOrders {
		if len(best.Missing) == 0 {
			break
		}
		if p := assign(requests, fleet, nil, order); len(p.Missing) < len(best.Missing) {
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

// Check returns a plan for the nominal fleet of the configuration, or an
// *InfeasibleError if that fleet cannot hold all guaranteed shapes.
func Check(cfg *config.Config) (*Plan, error) {
	p := Make(cfg, 0, NominalFleet(cfg), nil)
	if len(p.Missing) > 0 {
		return nil, &InfeasibleError{Missing: p.Missing}
	}
	return p, nil
}

// NominalFleet returns the workers that the configured racks consist of.
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

// SameHomes reports whether two plans have the same homes and missing shapes.
func SameHomes(a, b *Plan) bool {
	return slices.EqualFunc(a.Homes, b.Homes, sameHome) && slices.Equal(a.Missing, b.Missing)
}

func sameHome(a, b Home) bool {
	return a.Customer == b.Customer && a.Shape == b.Shape && a.Instance == b.Instance &&
		a.Demand == b.Demand && slices.Equal(a.Workers, b.Workers)
}

// HomeKey identifies the homes of one customer and shape.
type HomeKey struct {
	Customer string
	Shape    string
}

// HomesOnWorker returns the resources of all homes on one worker.
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

// HomeCounts returns the number of homes on each worker. Workers without homes are
// left out.
func (p *Plan) HomeCounts() map[string]int {
	counts := make(map[string]int)
	for _, h := range p.Homes {
		for _, name := range h.Workers {
			counts[name]++
		}
	}
	return counts
}

func guaranteedHomes(cfg *config.Config) []homeRequest {
	var requests []homeRequest
	for _, g := range cfg.Guarantees {
		customer, shape := cfg.Customer(g.Customer), cfg.Shape(g.Shape)
		if g.Disabled || customer == nil || customer.Disabled || shape == nil {
			continue
		}
		for i := range g.Count {
			requests = append(requests, homeRequest{customer: g.Customer, shape: *shape, instance: i})
		}
	}
	return requests
}

// placementOrder compares two requests; the lesser is placed first.
type placementOrder func(a, b homeRequest) int

// placementOrders are the orders that Make tries in turn, since no single order packs
// every set of shapes.
var placementOrders = []placementOrder{
	func(a, b homeRequest) int {
		return cmp.Or(sameRackFirst(a, b), cmp.Compare(b.shape.Demand.Accelerators, a.shape.Demand.Accelerators), cmp.Compare(b.shape.Workers, a.shape.Workers))
	},
	func(a, b homeRequest) int { return cmp.Compare(b.size(), a.size()) },
	func(a, b homeRequest) int {
		return cmp.Compare(b.shape.Demand.Accelerators, a.shape.Demand.Accelerators)
	},
	func(a, b homeRequest) int {
		return cmp.Or(cmp.Compare(b.shape.Demand.Slots, a.shape.Demand.Slots), cmp.Compare(b.size(), a.size()))
	},
	func(a, b homeRequest) int {
		return cmp.Or(cmp.Compare(b.shape.Workers, a.shape.Workers), cmp.Compare(b.size(), a.size()))
	},
}

// sameRackFirst orders shapes that need a single rack before all others.
func sameRackFirst(a, b homeRequest) int {
	return config.CompareBool(!a.shape.SameRack, !b.shape.SameRack)
}

// byIdentity makes a placement order total, so that plans do not depend on the order
// of the input.
func byIdentity(a, b homeRequest) int {
	return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.shape.Name, b.shape.Name), cmp.Compare(a.instance, b.instance))
}

package plan

import (
	"cmp"
	"slices"

	"bramleythread/core/config"
)

// workerSpace is the part of one worker that no home uses yet.
type workerSpace struct {
	name string
	zone string
	rack string
	free config.Demand
}

// assign keeps the homes of prev that are still valid and places the other requests
// in the given order.
func assign(requests []homeRequest, fleet []Worker, prev *Plan, order placementOrder) *Plan {
	a := newAssignment(fleet)
	unplaced := a.keepExisting(requests, prev)
	slices.SortFunc(unplaced, func(x, y homeRequest) int { return cmp.Or(order(x, y), byIdentity(x, y)) })
	for _, r := range unplaced {
		a.place(r)
	}
	slices.SortFunc(a.plan.Homes, func(x, y Home) int {
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Shape, y.Shape), cmp.Compare(x.Instance, y.Instance))
	})
	slices.SortFunc(a.plan.Missing, func(x, y Missing) int {
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Shape, y.Shape), cmp.Compare(x.Instance, y.Instance))
	})
	return a.plan
}

// assignment is the state of one call of assign.
type assignment struct {
	spaces map[string]*workerSpace
	racks  [][]*workerSpace
	all    []*workerSpace // by zone, rack and name
	plan   *Plan
}

func newAssignment(fleet []Worker) *assignment {
	a := &assignment{spaces: make(map[string]*workerSpace, len(fleet)), plan: &Plan{}}
	for _, w := range fleet {
		s := &workerSpace{name: w.Name, zone: w.Zone, rack: w.Rack, free: w.Capacity}
		a.spaces[w.Name] = s
		a.all = append(a.all, s)
	}
	slices.SortFunc(a.all, func(x, y *workerSpace) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.rack, y.rack), cmp.Compare(x.name, y.name))
	})
	a.racks = slices.Collect(chunkBy(a.all, func(x, y *workerSpace) bool { return x.zone == y.zone && x.rack == y.rack }))
	return a
}

// chunkBy yields the runs of adjacent elements for which same returns true.
func chunkBy[T any](s []T, same func(a, b T) bool) func(yield func([]T) bool) {
	return func(yield func([]T) bool) {
		for start := 0; start < len(s); {
			end := start + 1
			for end < len(s) && same(s[start], s[end]) {
				end++
			}
			if !yield(s[start:end]) {
				return
			}
			start = end
		}
	}
}

// keepExisting adds the homes of prev that are still requested and still valid. It
// returns the requests that have no home yet.
func (a *assignment) keepExisting(requests []homeRequest, prev *Plan) []homeRequest {
	if prev == nil {
		return slices.Clone(requests)
	}
	type id struct {
		customer, shape string
		instance        int
	}
	previous := make(map[id]Home, len(prev.Homes))
	for _, h := range prev.Homes {
		previous[id{h.Customer, h.Shape, h.Instance}] = h
	}
	var unplaced []homeRequest
	for _, r := range requests {
		h, ok := previous[id{r.customer, r.shape.Name, r.instance}]
		if ok && a.stillValid(r, h) {
			a.bind(r, h.Workers)
			continue
		}
		unplaced = append(unplaced, r)
	}
	return unplaced
}

// stillValid reports whether home h satisfies request r.
func (a *assignment) stillValid(r homeRequest, h Home) bool {
	if len(h.Workers) != r.shape.Workers || h.Demand != r.shape.Demand {
		return false
	}
	for _, name := range h.Workers {
		s, ok := a.spaces[name]
		if !ok || !r.shape.Demand.Fits(s.free) {
			return false
		}
		if r.shape.SameRack && s.rack != a.spaces[h.Workers[0]].rack {
			return false
		}
	}
	return true
}

func (a *assignment) bind(r homeRequest, workers []string) {
	for _, name := range workers {
		s := a.spaces[name]
		s.free = s.free.Sub(r.shape.Demand)
	}
	a.plan.Homes = append(a.plan.Homes, Home{
		Customer: r.customer,
		Shape:    r.shape.Name,
		Instance: r.instance,
		Demand:   r.shape.Demand,
		Workers:  slices.Clone(workers),
	})
}

func (a *assignment) place(r homeRequest) {
	// Prefer the racks with the least free resources, so that entire racks stay
	// free for large shapes.
	best := pickFullestGroup(a.racks, r.shape)
	if best == nil && !r.shape.SameRack {
		best, _ = pickTightest(a.all, r.shape)
	}
	if best == nil {
		a.plan.Missing = append(a.plan.Missing, Missing{Customer: r.customer, Shape: r.shape.Name, Instance: r.instance})
		return
	}
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	slices.Sort(names)
	a.bind(r, names)
}

// pickFullestGroup picks workers in the group with the least free resources.
func pickFullestGroup(groups [][]*workerSpace, shape config.Shape) []*workerSpace {
	var best []*workerSpace
	bestLeft := 0
	for _, g := range groups {
		picked, left := pickTightest(g, shape)
		if picked != nil && (best == nil || left < bestLeft) {
			best, bestLeft = picked, left
		}
	}
	return best
}

// pickTightest returns the workers of a group with the least free resources that fit
// the shape, and the sum of all free accelerators and slots of the group. It
// returns nil if too few workers fit.
func pickTightest(group []*workerSpace, shape config.Shape) (picked []*workerSpace, left int) {
	for _, s := range group {
		left += s.free.Accelerators + s.free.Slots
		if shape.Demand.Fits(s.free) {
			picked = append(picked, s)
		}
	}
	if len(picked) < shape.Workers {
		return nil, 0
	}
	slices.SortStableFunc(picked, func(x, y *workerSpace) int {
		return cmp.Or(cmp.Compare(x.free.Accelerators, y.free.Accelerators), cmp.Compare(x.free.Slots, y.free.Slots))
	})
	return picked[:shape.Workers], left
}

package plan

import (
	"cmp"
	"slices"

	"bramleythread/core/config"
)

// space is the part of one worker that no home uses yet.
type space struct {
	name string
	zone string
	rack string
	free config.Demand
}

// assign keeps the homes of prev that still hold and places the other wants in
// the given order.
func assign(wants []want, fleet []Worker, prev *Plan, by order) *Plan {
	a := newAssignment(fleet)
	rest := a.keep(wants, prev)
	slices.SortFunc(rest, func(x, y want) int { return cmp.Or(by(x, y), identity(x, y)) })
	for _, w := range rest {
		a.place(w)
	}
	slices.SortFunc(a.plan.Homes, func(x, y Home) int {
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Shape, y.Shape), cmp.Compare(x.Instance, y.Instance))
	})
	slices.SortFunc(a.plan.Missing, func(x, y Missing) int {
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Shape, y.Shape), cmp.Compare(x.Instance, y.Instance))
	})
	return a.plan
}

// assignment is the state of one run of assign.
type assignment struct {
	spaces map[string]*space
	racks  [][]*space
	all    []*space
	plan   *Plan
}

func newAssignment(fleet []Worker) *assignment {
	a := &assignment{spaces: make(map[string]*space, len(fleet)), plan: &Plan{}}
	for _, w := range fleet {
		s := &space{name: w.Name, zone: w.Zone, rack: w.Rack, free: w.Capacity}
		a.spaces[w.Name] = s
		a.all = append(a.all, s)
	}
	slices.SortFunc(a.all, func(x, y *space) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.rack, y.rack), cmp.Compare(x.name, y.name))
	})
	a.racks = slices.Collect(chunkBy(a.all, func(x, y *space) bool { return x.zone == y.zone && x.rack == y.rack }))
	return a
}

// chunkBy yields the runs of neighbours that are the same.
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

// keep takes over the homes of prev that are still wanted and still possible.
// It returns the wants that have no home yet.
func (a *assignment) keep(wants []want, prev *Plan) []want {
	if prev == nil {
		return slices.Clone(wants)
	}
	type id struct {
		customer, shape string
		instance        int
	}
	held := make(map[id]Home, len(prev.Homes))
	for _, h := range prev.Homes {
		held[id{h.Customer, h.Shape, h.Instance}] = h
	}
	var rest []want
	for _, w := range wants {
		h, ok := held[id{w.customer, w.shape.Name, w.instance}]
		if ok && a.holds(w, h) {
			a.bind(w, h.Workers)
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

// holds reports whether home h still satisfies w.
func (a *assignment) holds(w want, h Home) bool {
	if len(h.Workers) != w.shape.Workers || h.Demand != w.shape.Demand {
		return false
	}
	for _, name := range h.Workers {
		s, ok := a.spaces[name]
		if !ok || !w.shape.Demand.Fits(s.free) {
			return false
		}
		if w.shape.SameRack && s.rack != a.spaces[h.Workers[0]].rack {
			return false
		}
	}
	return true
}

func (a *assignment) bind(w want, workers []string) {
	for _, name := range workers {
		s := a.spaces[name]
		s.free = s.free.Sub(w.shape.Demand)
	}
	a.plan.Homes = append(a.plan.Homes, Home{
		Customer: w.customer,
		Shape:    w.shape.Name,
		Instance: w.instance,
		Demand:   w.shape.Demand,
		Workers:  slices.Clone(workers),
	})
}

func (a *assignment) place(w want) {
	// Small homes go into the racks that have the least left, so that whole
	// racks stay free for large shapes.
	best := pickBest(a.racks, w.shape)
	if best == nil && !w.shape.SameRack {
		best, _ = pick(a.all, w.shape)
	}
	if best == nil {
		a.plan.Missing = append(a.plan.Missing, Missing{Customer: w.customer, Shape: w.shape.Name, Instance: w.instance})
		return
	}
	names := make([]string, len(best))
	for i, s := range best {
		names[i] = s.name
	}
	slices.Sort(names)
	a.bind(w, names)
}

// pickBest picks within the group that has the least left.
func pickBest(groups [][]*space, shape config.Shape) []*space {
	var best []*space
	bestLeft := 0
	for _, g := range groups {
		picked, left := pick(g, shape)
		if picked != nil && (best == nil || left < bestLeft) {
			best, bestLeft = picked, left
		}
	}
	return best
}

// pick returns the workers of a group that fit the shape most tightly, and the
// accelerators and slots that the group would have left; nil if none fit.
func pick(group []*space, shape config.Shape) (picked []*space, left int) {
	for _, s := range group {
		left += s.free.Accelerators + s.free.Slots
		if shape.Demand.Fits(s.free) {
			picked = append(picked, s)
		}
	}
	if len(picked) < shape.Workers {
		return nil, 0
	}
	slices.SortStableFunc(picked, func(x, y *space) int {
		return cmp.Or(cmp.Compare(x.free.Accelerators, y.free.Accelerators), cmp.Compare(x.free.Slots, y.free.Slots))
	})
	return picked[:shape.Workers], left
}

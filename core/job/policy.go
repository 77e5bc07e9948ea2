package job

import (
	"cmp"
	"slices"
)

// Policy leaves out rules, so that an experiment shows what each of them is for.
type Policy struct {
	// FirstCome serves jobs in the order of their acceptance, whatever their
	// priority, and lets none pass one that waits.
	FirstCome bool

	// FirstFit takes the first workers that have room, in the order of racks.
	FirstFit bool

	// NoReclaim stops nothing for urgent work.
	NoReclaim bool

	// NoReserve keeps no room for what finds too little.
	NoReserve bool

	// NoEjection gives work to workers that fail it.
	NoEjection bool
}

// Policies are the policies that experiments compare, by name.
var Policies = map[string]Policy{
	"present":     {},
	"fcfs":        {FirstCome: true, FirstFit: true, NoReclaim: true, NoReserve: true},
	"no_reclaim":  {NoReclaim: true},
	"no_reserve":  {NoReserve: true},
	"first_fit":   {FirstFit: true},
	"no_ejection": {NoEjection: true},
}

// sortQueue orders the stages that want workers, the most urgent first.
func (e *Engine) sortQueue(queue []*stage, rank map[*stage]float64) {
	slices.SortStableFunc(queue, func(a, b *stage) int {
		if e.cfg.Policy.FirstCome {
			return a.job.Accepted.Compare(b.job.Accepted)
		}
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(rank[a], rank[b]))
	})
}

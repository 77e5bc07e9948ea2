package job

import (
	"cmp"
	"slices"
)

// Policy disables placement rules, so that experiments can show the effect of each.
type Policy struct {
	// FirstCome serves jobs in order of acceptance regardless of priority; a job
	// that waits blocks all later ones.
	FirstCome bool

	// FirstFit considers workers in order of racks instead of looking for the
	// best fit.
	FirstFit bool

	// NoReclaim disables preemption for urgent work.
	NoReclaim bool

	// NoReserve disables reservations for stages that do not fit.
	NoReserve bool

	// NoEjection gives work also to workers whose runs fail.
	NoEjection bool

	// NoSpeeds forecasts run times as one mean per queue, regardless of the worker,
	// instead of by core/estimate, and places work regardless of the workers' speeds.
	NoSpeeds bool

	// NoShares serves the jobs of a priority in order of acceptance regardless of
	// what their customers have received.
	NoShares bool

	// KnownRunTimes tells the engine the true run times (Config.Oracle), so that
	// experiments can show what better forecasts could gain. Only the emulator can.
	KnownRunTimes bool
}

// Policies maps names to the policies that experiments compare.
var Policies = map[string]Policy{
	"present":     {},
	"fcfs":        {FirstCome: true, FirstFit: true, NoReclaim: true, NoReserve: true, NoShares: true},
	"no_reclaim":  {NoReclaim: true},
	"no_reserve":  {NoReserve: true},
	"first_fit":   {FirstFit: true},
	"no_ejection": {NoEjection: true},
	"no_speeds":   {NoSpeeds: true},
	"no_shares":   {NoShares: true},
	"oracle":      {KnownRunTimes: true},
}

// sortQueue sorts waiting stages, the most urgent first.
func (e *Engine) sortQueue(queue []*stage, rank map[*stage]float64) {
	slices.SortStableFunc(queue, func(a, b *stage) int {
		if e.cfg.Policy.FirstCome {
			return a.job.Accepted.Compare(b.job.Accepted)
		}
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(rank[a], rank[b]))
	})
}

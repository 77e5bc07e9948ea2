package schedule

import "time"

// Policy selects the rules that the systems follow. Every rule can be turned
// off, so that a replay shows what it does.
type Policy struct {
	ShortFirst  bool          // shorter services first, by learned run time
	FairShare   bool          // customers that use less of their weight first
	BestFit     bool          // the tightest worker and rack, not the first
	Reserve     bool          // keep room for a waiting gang, with backfill
	Hints       bool          // declared run times count before any was seen
	Ageing      time.Duration // wait that halves a job's cost in the order
	KeepSlots   bool          // long work leaves room for short work
	RefuseEarly bool          // refuse what cannot be answered in time
}

// DefaultPolicy is the policy of a running entry.
func DefaultPolicy() Policy {
	return Policy{
		ShortFirst: true,
		FairShare:  true,
		BestFit:    true,
		Reserve:    true,
		Hints:      true,
		Ageing:     30 * time.Second,
	}
}

// Baseline is first come, first served with first fit.
func Baseline() Policy { return Policy{} }

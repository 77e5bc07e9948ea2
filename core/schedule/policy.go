package schedule

import "time"

// Policy selects the rules that the systems follow. Every rule can be turned
// off, so that a replay shows what it does.
type Policy struct {
	StrictFCFS       bool          // one queue by arrival, whose head blocks the rest
	ShortFirst       bool          // shorter services first, by learned run time
	FairShare        bool          // customers that use less of their weight first
	BestFit          bool          // the tightest worker and rack, not the first
	Reserve          bool          // keep room for a waiting large job, with backfill
	DeclaredRunTimes bool          // declared run times count before any was seen
	Ageing           time.Duration // wait that halves a job's cost in the order
	Stragglers       bool          // what runs for much longer than its service is long
	MakeRoom         bool          // long work yields to short work that waits
	Defragment       bool          // long work is moved for a large job that waits
	Headroom         bool          // long work leaves slots free for bursts of short work
}

// DefaultPolicy is the policy of a running entry.
func DefaultPolicy() Policy {
	return Policy{
		ShortFirst:       true,
		FairShare:        true,
		BestFit:          true,
		Reserve:          true,
		DeclaredRunTimes: true,
		Ageing:           30 * time.Second,
		Stragglers:       true,
		MakeRoom:         true,
		Defragment:       true,
		Headroom:         true,
	}
}

// BaselinePolicy is first come, first served with first fit.
func BaselinePolicy() Policy { return Policy{StrictFCFS: true} }

// NonPreemptivePolicy is the policy of version 0.1 before work was made to yield.
func NonPreemptivePolicy() Policy {
	return Policy{
		ShortFirst:       true,
		FairShare:        true,
		BestFit:          true,
		Reserve:          true,
		DeclaredRunTimes: true,
		Ageing:           30 * time.Second,
	}
}

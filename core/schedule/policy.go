package schedule

import "time"

// Policy selects the scheduling rules. Each rule can be turned off, so that a
// replay can show its effect.
type Policy struct {
	StrictFCFS       bool          // a single queue by arrival time whose head blocks all other jobs
	ShortFirst       bool          // services with shorter estimated run times first
	FairShare        bool          // customers that use less of their weighted share first
	BestFit          bool          // the worker and rack with the least free resources instead of the first
	Reserve          bool          // reserve workers for a waiting large job, with backfill
	DeclaredRunTimes bool          // use declared run times until one has been observed
	Ageing           time.Duration // waiting time that halves a job's cost; 0 turns ageing off
	Stragglers       bool          // queue jobs that run much longer than their service separately
	MakeRoom         bool          // preempt long-running jobs for waiting short jobs
	Defragment       bool          // preempt long-running jobs to clear workers for a waiting large job
	Headroom         bool          // long-running jobs leave slots free for bursts of short jobs
}

// DefaultPolicy returns the policy that entries run with.
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

// BaselinePolicy returns first come, first served with first fit.
func BaselinePolicy() Policy { return Policy{StrictFCFS: true} }

// NonPreemptivePolicy returns the policy of version 0.1 before preemption was
// added.
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

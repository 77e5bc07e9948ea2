package emulate

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/wire"
)

// lateLimit is how many times its objective a job may take and still be worth
// something.
const lateLimit = 3

// Outcome is what one play of a scenario has given its callers.
type Outcome struct {
	Jobs                   int
	OfferedValue           float64
	EarnedValue            float64
	SurgeShare             float64            // share earned of what was asked for in surges
	ShareByKind            map[string]float64 // share earned
	LargestTenthRatio      map[string]float64 // share of the largest tenth served, over that of the kind
	ShareByCustomer        map[string]float64 // share earned
	WastedShare            float64            // share of the work done
	IdleAcceleratorSeconds float64            // accelerator-seconds that were free while work waited
	UrgentP95              time.Duration      // the 95th of 100 urgent jobs has ended after so long
	FailedJobs             int                // jobs that could have been done
	OpenJobs               int                // jobs without an end
	EarnedPerSecond        []float64          // value earned by second of the end
}

// EarnedShare returns what was earned of the value that was owed.
func (o *Outcome) EarnedShare() float64 { return o.EarnedValue / max(o.OfferedValue, 1e-9) }

// Simulate plays a scenario by a seed under a policy.
func Simulate(s *Scenario, policy job.Policy, seed uint64) *Outcome {
	requests := s.draw(seed)
	w := newWorld(s, policy)
	w.play(requests, seed)
	return w.measure(requests)
}

// tally adds up what is owed and earned.
type tally struct{ owed, earned, jobs, served float64 }

func (t *tally) add(r *request) {
	t.owed += r.worth
	t.earned += r.earned()
	t.jobs++
	if r.state == wire.JobCompleted && r.earned() > 0 {
		t.served++
	}
}

func (t *tally) share() float64 { return t.earned / max(t.owed, 1e-9) }

// earned returns what the job was worth to its caller.
func (r *request) earned() float64 {
	took := r.ended - r.at
	switch {
	case r.state != wire.JobCompleted:
		return 0
	case took <= r.objective():
		return r.worth
	case took <= lateLimit*r.objective():
		return r.worth * r.kind.LateValue / r.kind.Value
	default:
		return 0
	}
}

func (w *world) measure(requests []*request) *Outcome {
	o := &Outcome{
		ShareByKind: make(map[string]float64), LargestTenthRatio: make(map[string]float64), ShareByCustomer: make(map[string]float64),
		EarnedPerSecond: make([]float64, int((w.s.TrafficDuration+settleTime)/time.Second)+1), IdleAcceleratorSeconds: w.idle, WastedShare: w.wasted / max(w.worked, 1e-9),
	}
	var all, crest tally
	kinds, customers := make(map[string]*tally), make(map[string]*tally)
	byKind := make(map[string][]*request)
	var urgent []time.Duration
	for _, r := range requests {
		if r.cancel > 0 || r.hopeless {
			continue
		}
		all.add(r)
		if w.s.surge(r.kind.Name, r.at) > 1 {
			crest.add(r)
		}
		of(kinds, r.kind.Name).add(r)
		of(customers, r.job.Customer).add(r)
		byKind[r.kind.Name] = append(byKind[r.kind.Name], r)
		if r.kind.Priority == 0 && r.state.Final() {
			urgent = append(urgent, r.ended-r.at)
		}
		switch {
		case r.state == wire.JobFailed:
			o.FailedJobs++
		case !r.state.Final():
			o.OpenJobs++
		}
		if r.state.Final() {
			o.EarnedPerSecond[int(r.ended/time.Second)] += r.earned()
		}
	}
	o.Jobs, o.OfferedValue, o.EarnedValue, o.SurgeShare = int(all.jobs), all.owed, all.earned, crest.share()
	for name, t := range kinds {
		o.ShareByKind[name] = t.share()
		o.LargestTenthRatio[name] = largest(byKind[name]) / max(t.served/t.jobs, 1e-9)
	}
	for name, t := range customers {
		o.ShareByCustomer[name] = t.share()
	}
	if len(urgent) > 0 {
		slices.Sort(urgent)
		o.UrgentP95 = urgent[len(urgent)*95/100]
	}
	return o
}

func of(tallies map[string]*tally, name string) *tally {
	if tallies[name] == nil {
		tallies[name] = &tally{}
	}
	return tallies[name]
}

// largest returns the share of the largest tenth of jobs that was served.
func largest(requests []*request) float64 {
	slices.SortFunc(requests, func(a, b *request) int { return -cmp.Compare(a.coreSeconds(), b.coreSeconds()) })
	var t tally
	for _, r := range requests[:(len(requests)+9)/10] {
		t.add(r)
	}
	return t.served / max(t.jobs, 1)
}

package emulate

import (
	"cmp"
	"slices"
	"time"

	"bramleythread/core/job"
	"bramleythread/io/wire"
)

// maxLateFactor is the multiple of its objective after which a late job has no
// value.
const maxLateFactor = 3

// Outcome holds the results of one simulation.
type Outcome struct {
	Jobs                   int
	OfferedValue           float64
	EarnedValue            float64
	SurgeShare             float64            // earned share of the value of jobs submitted in surges
	ShareByKind            map[string]float64 // earned share of the value
	LargestTenthRatio      map[string]float64 // by kind: served share of the largest tenth of jobs, divided by that of all its jobs
	ShareByCustomer        map[string]float64 // earned share of the value
	WastedShare            float64            // share of the work that was lost
	IdleAcceleratorSeconds float64            // accelerators idle while jobs waited
	UndisturbedShare       float64            // earned share of the value of the customers that no surge names
	UrgentLateShare        float64            // share of the urgent jobs that do not complete within their objective
	MeanCompletion         time.Duration      // mean time from submission to the end; an open job counts up to the end of the simulation
	WastedCoreSeconds      float64            // work that was lost; an accelerator counts as eight cores
	UrgentP95              time.Duration      // 95th percentile of the time from submission to the end of urgent jobs
	FailedJobs             int                // failed jobs that could have succeeded
	OpenJobs               int                // jobs that have not ended
	EarnedPerSecond        []float64          // value by the second in which the job ended
}

// EarnedShare returns the earned share of the offered value.
func (o *Outcome) EarnedShare() float64 { return o.EarnedValue / max(o.OfferedValue, 1e-9) }

// Simulate runs a scenario under a policy with the requests generated from seed.
func Simulate(s *Scenario, policy job.Policy, seed uint64) *Outcome {
	requests := s.generateRequests(seed)
	sim := newSimulation(s, policy)
	sim.run(requests, seed)
	return sim.measure(requests)
}

// tally sums the offered and earned value of a set of jobs.
type tally struct{ offered, earned, jobs, served float64 }

func (t *tally) add(r *simRequest) {
	t.offered += r.value
	t.earned += r.earnedValue()
	t.jobs++
	if r.state == wire.JobCompleted && r.earnedValue() > 0 {
		t.served++
	}
}

func (t *tally) share() float64 { return t.earned / max(t.offered, 1e-9) }

// lateness counts the urgent jobs and those of them that are late.
type lateness struct{ jobs, late int }

func (l *lateness) add(r *simRequest, now time.Duration) {
	if r.kind.Priority != 0 {
		return
	}
	l.jobs++
	if r.state != wire.JobCompleted || r.completionTime(now) > r.objective() {
		l.late++
	}
}

// earnedValue returns the value of the job to its caller: the full value within
// the objective, the late value up to maxLateFactor times the objective.
func (r *simRequest) earnedValue() float64 {
	elapsed := r.endedAt - r.submittedAt
	switch {
	case r.state != wire.JobCompleted:
		return 0
	case elapsed <= r.objective():
		return r.value
	case elapsed <= maxLateFactor*r.objective():
		return r.value * r.kind.LateValue / r.kind.Value
	default:
		return 0
	}
}

// completionTime returns the time from the submission of the job to its end, or to
// now if it is open.
func (r *simRequest) completionTime(now time.Duration) time.Duration {
	if r.state.Final() {
		return r.endedAt - r.submittedAt
	}
	return now - r.submittedAt
}

func (sim *simulation) measure(requests []*simRequest) *Outcome {
	o := &Outcome{
		ShareByKind: make(map[string]float64), LargestTenthRatio: make(map[string]float64), ShareByCustomer: make(map[string]float64),
		EarnedPerSecond: make([]float64, int((sim.scenario.TrafficDuration+drainTime)/time.Second)+1), IdleAcceleratorSeconds: sim.idleAcceleratorSeconds, WastedShare: sim.wastedWork / max(sim.totalWork, 1e-9),
	}
	var all, surge, undisturbed tally
	surging := sim.scenario.surgingCustomers()
	var urgentJobs lateness
	kinds, customers := make(map[string]*tally), make(map[string]*tally)
	byKind := make(map[string][]*simRequest)
	var urgent []time.Duration
	for _, r := range requests {
		if r.cancelAfter > 0 || r.impossible {
			continue
		}
		all.add(r)
		if !surging[r.job.Customer] {
			undisturbed.add(r)
		}
		o.MeanCompletion += r.completionTime(sim.now)
		urgentJobs.add(r, sim.now)
		if sim.scenario.surgeFactor(r.kind.Name, r.submittedAt) > 1 {
			surge.add(r)
		}
		tallyFor(kinds, r.kind.Name).add(r)
		tallyFor(customers, r.job.Customer).add(r)
		byKind[r.kind.Name] = append(byKind[r.kind.Name], r)
		if r.kind.Priority == 0 && r.state.Final() {
			urgent = append(urgent, r.endedAt-r.submittedAt)
		}
		switch {
		case r.state == wire.JobFailed:
			o.FailedJobs++
		case !r.state.Final():
			o.OpenJobs++
		}
		if r.state.Final() {
			o.EarnedPerSecond[int(r.endedAt/time.Second)] += r.earnedValue()
		}
	}
	o.Jobs, o.OfferedValue, o.EarnedValue, o.SurgeShare = int(all.jobs), all.offered, all.earned, surge.share()
	o.UndisturbedShare, o.WastedCoreSeconds = undisturbed.share(), sim.wastedWork
	o.UrgentLateShare = float64(urgentJobs.late) / float64(max(urgentJobs.jobs, 1))
	o.MeanCompletion /= time.Duration(max(o.Jobs, 1))
	for name, t := range kinds {
		o.ShareByKind[name] = t.share()
		o.LargestTenthRatio[name] = largestTenthServed(byKind[name]) / max(t.served/t.jobs, 1e-9)
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

func tallyFor(tallies map[string]*tally, name string) *tally {
	if tallies[name] == nil {
		tallies[name] = &tally{}
	}
	return tallies[name]
}

// largestTenthServed returns the served share of the largest tenth of the jobs.
func largestTenthServed(requests []*simRequest) float64 {
	slices.SortFunc(requests, func(a, b *simRequest) int { return -cmp.Compare(a.coreSeconds(), b.coreSeconds()) })
	var t tally
	for _, r := range requests[:(len(requests)+9)/10] {
		t.add(r)
	}
	return t.served / max(t.jobs, 1)
}

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
	Jobs      int
	Owed      float64
	Earned    float64
	Crest     float64            // share earned of what was asked for in surges
	Kinds     map[string]float64 // share earned
	Largest   map[string]float64 // share of the largest tenth served, over that of the kind
	Customers map[string]float64 // share earned
	Wasted    float64            // share of the work done
	Idle      float64            // accelerator-seconds that were free while work waited
	Urgent    time.Duration      // the 95th of 100 urgent jobs has ended after so long
	Failed    int                // jobs that could have been done
	Open      int                // jobs without an end
	Curve     []float64          // value earned by second of the end
}

// Share returns what was earned of the value that was owed.
func (o *Outcome) Share() float64 { return o.Earned / max(o.Owed, 1e-9) }

// Play plays a scenario by a seed under a policy.
func Play(s *Scenario, policy job.Policy, seed uint64) *Outcome {
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
		return r.worth * r.kind.LateWorth / r.kind.Worth
	default:
		return 0
	}
}

func (w *world) measure(requests []*request) *Outcome {
	o := &Outcome{
		Kinds: make(map[string]float64), Largest: make(map[string]float64), Customers: make(map[string]float64),
		Curve: make([]float64, int((w.s.Length+settleTime)/time.Second)+1), Idle: w.idle, Wasted: w.wasted / max(w.worked, 1e-9),
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
			o.Failed++
		case !r.state.Final():
			o.Open++
		}
		if r.state.Final() {
			o.Curve[int(r.ended/time.Second)] += r.earned()
		}
	}
	o.Jobs, o.Owed, o.Earned, o.Crest = int(all.jobs), all.owed, all.earned, crest.share()
	for name, t := range kinds {
		o.Kinds[name] = t.share()
		o.Largest[name] = largest(byKind[name]) / max(t.served/t.jobs, 1e-9)
	}
	for name, t := range customers {
		o.Customers[name] = t.share()
	}
	if len(urgent) > 0 {
		slices.Sort(urgent)
		o.Urgent = urgent[len(urgent)*95/100]
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

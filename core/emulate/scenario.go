// Package emulate plays a load against the scheduler's own decision code on a
// virtual clock: workers with leases, checkpoints, racks and faults, a store with
// its delay, and callers who send surges, leave, and send what can never be done.
package emulate

import (
	"math"
	"math/rand/v2"
	"time"

	"bramleythread/io/wire"
)

// Scenario is a load and the fleet that it meets.
type Scenario struct {
	Name            string
	TrafficDuration time.Duration // of the traffic
	Workers         int
	WorkersPerRack  int // workers of one rack
	WorkerCapacity  wire.Resources

	GuaranteedAccelerators map[string]int // accelerators by customer
	Kinds                  []RequestKind
	Surges                 []Surge
	Faults                 []Fault

	StoreDelay         time.Duration // of a transaction
	LinkDelay          time.Duration // one way, between scheduler and agents
	StopDelay          time.Duration // of a run
	CheckpointInterval time.Duration
	RackFactor         float64 // how much longer work takes away from its rack
}

// RequestKind is one kind of request.
type RequestKind struct {
	Name              string
	Priority          int
	RequestRate       float64
	MeanTasks         float64 // mean number of a job's tasks
	MaxTasks          int
	MeanWork          time.Duration // mean of a task on a sound worker
	WorkSigma         float64       // of the work, as the sigma of its logarithm
	TailShare         float64       // share of tasks that take TailFactor times as long
	TailFactor        float64
	Accelerators      []int // drawn evenly
	CPUPerAccelerator int   // thousandths of a core for each accelerator
	GangShare         float64
	SameRackShare     float64 // share of the gangs
	CheckpointShare   float64
	FailureShare      float64 // share of runs that fail by themselves
	ImpossibleShare   float64 // share of jobs that can never be done
	CancelledShare    float64
	Attempts          int
	Stretch           float64
	Objective         time.Duration // beyond the stretched work
	Value             float64
	LateValue         float64
}

// Surge multiplies the traffic of a kind for a time; an empty kind means all.
type Surge struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Factor   float64
}

// FaultKind is what goes wrong with some workers.
type FaultKind string

// Faults of workers.
const (
	FaultHang  FaultKind = "hang"  // runs stand still
	FaultSlow  FaultKind = "slow"  // work takes six times as long
	FaultFail  FaultKind = "fail"  // all runs fail
	FaultCrash FaultKind = "crash" // runs are lost, and the worker comes back
)

// Fault strikes a number of workers for a time.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Count    int
}

// request is a job with what only the emulator knows of it.
type request struct {
	job      wire.Job
	kind     *RequestKind
	at       time.Duration
	work     [][]time.Duration // of each task, by step
	failures [][]int           // runs of each task that fail first
	hopeless bool
	cancel   time.Duration // after submission; 0 if never
	chain    time.Duration // the longest chain of work
	worth    float64
	ended    time.Duration
	state    wire.JobState
}

// objective returns the time within which the caller wants the job.
func (r *request) objective() time.Duration {
	return time.Duration(r.job.Stretch*float64(r.chain)) + r.job.Objective
}

// coreSeconds weighs the job's work; an accelerator counts as eight cores.
func (r *request) coreSeconds() float64 {
	total := 0.0
	for i, tasks := range r.work {
		d := r.job.Steps[i].Demand
		for _, w := range tasks {
			total += w.Seconds() * (float64(d.CPU)/1000 + 8*float64(d.Accelerators))
		}
	}
	return total
}

// draw makes the requests of a scenario by a seed.
func (s *Scenario) draw(seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	customers := s.customers()
	var all []*request
	for i := range s.Kinds {
		k := &s.Kinds[i]
		var of []*request
		for at := time.Duration(0); ; {
			rate := k.RequestRate * s.surge(k.Name, at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.TrafficDuration {
				break
			}
			of = append(of, k.draw(random, at, customers[random.IntN(len(customers))], len(all)+len(of)))
		}
		value(of)
		all = append(all, of...)
	}
	return all
}

// surge returns the factor of a kind's traffic at a time.
func (s *Scenario) surge(kind string, at time.Duration) float64 {
	factor := 1.0
	for _, x := range s.Surges {
		if (x.Kind == "" || x.Kind == kind) && at >= x.At && at < x.At+x.Duration {
			factor *= x.Factor
		}
	}
	return factor
}

func (s *Scenario) customers() []string {
	names := sortedKeys(s.GuaranteedAccelerators)
	if len(names) == 0 {
		names = []string{"customer"}
	}
	return names
}

func (k *RequestKind) draw(random *rand.Rand, at time.Duration, customer string, n int) *request {
	tasks := 1 + min(int(random.ExpFloat64()*max(k.MeanTasks-1, 0)+0.5), max(k.MaxTasks, 1)-1)
	accelerators := k.Accelerators[random.IntN(len(k.Accelerators))]
	step := wire.JobStep{
		Count:       tasks,
		Demand:      wire.Resources{CPU: k.CPUPerAccelerator * accelerators, Memory: 1024, Accelerators: accelerators},
		Estimate:    time.Duration(float64(k.MeanWork) * math.Exp(0.9*random.NormFloat64())),
		Gang:        tasks > 1 && random.Float64() < k.GangShare,
		Checkpoints: random.Float64() < k.CheckpointShare,
	}
	step.SameRack = step.Gang && random.Float64() < k.SameRackShare
	r := &request{kind: k, at: at, hopeless: random.Float64() < k.ImpossibleShare, state: wire.JobQueued}
	r.work, r.failures = make([][]time.Duration, 1), make([][]int, 1)
	for range tasks {
		work := k.taskWork(random)
		if step.Gang && len(r.work[0]) > 0 {
			work = r.work[0][0] // its members work together
		}
		failures := 0
		for failures < k.Attempts-1 && random.Float64() < k.FailureShare {
			failures++
		}
		if r.hopeless {
			failures = k.Attempts
		}
		r.work[0], r.failures[0] = append(r.work[0], work), append(r.failures[0], failures)
		r.chain = max(r.chain, time.Duration(1+min(failures, k.Attempts-1))*work)
	}
	if random.Float64() < k.CancelledShare {
		r.cancel = time.Duration(random.Float64() * float64(r.chain))
	}
	r.job = wire.Job{
		ID: jobID(n, k.Name), Queue: k.Name, Customer: customer, Service: "service", Priority: k.Priority, Attempts: k.Attempts,
		Stretch: k.Stretch, Objective: k.Objective, Steps: []wire.JobStep{step},
	}
	return r
}

func (k *RequestKind) taskWork(random *rand.Rand) time.Duration {
	work := float64(k.MeanWork) * math.Exp(k.WorkSigma*random.NormFloat64()-k.WorkSigma*k.WorkSigma/2)
	if random.Float64() < k.TailShare {
		work *= k.TailFactor
	}
	return time.Duration(work)
}

// value sets what the jobs of a kind are worth: the more, the larger they are.
func value(of []*request) {
	mean := 0.0
	for _, r := range of {
		mean += r.coreSeconds() / float64(len(of))
	}
	for _, r := range of {
		r.worth = r.kind.Value * min(0.3+0.7*r.coreSeconds()/mean, 4)
	}
}

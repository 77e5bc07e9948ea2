// Package emulate simulates a load on the job scheduler's engine on a virtual
// clock. It models workers with leases, checkpoints, racks and faults, the delay
// of the store, and callers that send surges, cancel jobs, and submit jobs that
// can never succeed.
package emulate

import (
	"math"
	"math/rand/v2"
	"time"

	"bramleythread/io/wire"
)

// Scenario describes a load and the fleet that serves it.
type Scenario struct {
	Name            string
	TrafficDuration time.Duration // time during which requests arrive
	Workers         int
	WorkersPerRack  int
	WorkerCapacity  wire.Resources

	// Slowness lists factors of the run time, which are assigned to the workers in
	// turn. Without them, all workers have the factor 1.
	Slowness []float64

	GuaranteedAccelerators map[string]int // by customer
	Kinds                  []RequestKind
	Surges                 []Surge
	Faults                 []Fault

	StoreDelay         time.Duration // duration of a store transaction
	LinkDelay          time.Duration // one-way delay between scheduler and agents
	StopDelay          time.Duration // time that stopping a run takes
	RestoreTime        time.Duration // time for which a run that resumes from a checkpoint makes no progress
	CheckpointInterval time.Duration

	// StopLosesProgress makes a run that is being stopped end without progress
	// since its latest checkpoint. Otherwise it works until the stop is complete
	// and saves all its progress.
	StopLosesProgress bool

	RackFactor float64 // slowdown of a same-rack gang that spans several racks
}

// RequestKind describes the requests of one kind.
type RequestKind struct {
	Name              string
	Priority          int
	RequestRate       float64 // requests per second outside of surges
	MeanTasks         float64 // mean number of tasks per job
	MaxTasks          int
	MeanWork          time.Duration // mean run time of a task on a healthy worker
	WorkSigma         float64       // standard deviation of the logarithm of the run time
	TaskSigma         float64       // the same within one job; WorkSigma is then that between jobs. 0: tasks are drawn independently
	EstimateSigma     float64       // standard deviation of the logarithm of estimate / run time; 0: the estimate is unrelated to the job's work
	TailShare         float64       // share of tasks that take TailFactor times as long
	TailFactor        float64
	Accelerators      []int   // accelerators per task, drawn uniformly from this list
	CPUPerAccelerator int     // millicores
	CPUPerTask        int     // millicores, in place of CPUPerAccelerator
	GangShare         float64 // share of the jobs with several tasks that are gangs
	SameRackShare     float64 // share of the gangs that ask for a single rack
	CheckpointShare   float64 // share of jobs whose tasks save checkpoints
	FailureShare      float64 // probability that a run fails, not counting faults of its worker
	ImpossibleShare   float64 // share of jobs that can never succeed
	CancelledShare    float64
	Attempts          int
	Stretch           float64       // factor of the critical path in the time allowed for the job
	Objective         time.Duration // added to the stretched critical path
	Value             float64
	LateValue         float64 // value of a late job, on the scale of Value
}

// Surge multiplies the request rate of a kind for an interval. An empty kind
// means all kinds. With a customer, all additional requests are of that customer.
type Surge struct {
	Kind     string
	Customer string
	At       time.Duration
	Duration time.Duration
	Factor   float64
}

// FaultKind is the type of a fault of workers.
type FaultKind string

// Types of faults.
const (
	FaultHang  FaultKind = "hang"  // runs make no progress
	FaultSlow  FaultKind = "slow"  // work takes six times as long
	FaultFail  FaultKind = "fail"  // all runs fail
	FaultCrash FaultKind = "crash" // runs are lost and the worker restarts

	// FaultReject makes every run fail soon after its start. Earlier runs go on.
	FaultReject FaultKind = "reject"
)

// Fault affects Count workers, drawn at random, for an interval.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Count    int
}

// simRequest is a job with the properties that only the emulator knows.
type simRequest struct {
	job          wire.Job
	kind         *RequestKind
	submittedAt  time.Duration
	work         [][]time.Duration // run time by step and task
	failuresLeft [][]int           // failures still due, by step and task
	impossible   bool
	cancelAfter  time.Duration // after submission; 0 if never
	criticalPath time.Duration // longest time that a task needs, including its runs that fail
	value        float64
	endedAt      time.Duration
	state        wire.JobState
}

// objective returns the time within which the job should complete.
func (r *simRequest) objective() time.Duration {
	return time.Duration(r.job.Stretch*float64(r.criticalPath)) + r.job.Objective
}

// coreSeconds returns the work of the job in core-seconds. An accelerator counts
// as eight cores.
func (r *simRequest) coreSeconds() float64 {
	total := 0.0
	for i, tasks := range r.work {
		d := r.job.Steps[i].Demand
		for _, w := range tasks {
			total += w.Seconds() * (float64(d.CPU)/1000 + 8*float64(d.Accelerators))
		}
	}
	return total
}

// generateRequests draws the requests of a scenario from seed.
func (s *Scenario) generateRequests(seed uint64) []*simRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	customers := s.customers()
	var requests []*simRequest
	for i := range s.Kinds {
		k := &s.Kinds[i]
		var kindRequests []*simRequest
		for at := time.Duration(0); ; {
			rate := k.RequestRate * s.surgeFactor(k.Name, at)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.TrafficDuration {
				break
			}
			customer := customers[random.IntN(len(customers))]
			customer = s.surgeCustomer(random, k.Name, at, customer)
			kindRequests = append(kindRequests, k.generateRequest(random, at, customer, len(requests)+len(kindRequests)))
		}
		assignValues(kindRequests)
		requests = append(requests, kindRequests...)
	}
	return requests
}

// surgeFactor returns the factor of the request rate of a kind at a time.
func (s *Scenario) surgeFactor(kind string, at time.Duration) float64 {
	factor := 1.0
	for _, surge := range s.Surges {
		if surge.covers(kind, at) {
			factor *= surge.Factor
		}
	}
	return factor
}

func (g *Surge) covers(kind string, at time.Duration) bool {
	return (g.Kind == "" || g.Kind == kind) && at >= g.At && at < g.At+g.Duration
}

// surgeCustomer returns the customer of a request: that of a surge for the share of
// the requests that the surge adds, customer for the others.
func (s *Scenario) surgeCustomer(random *rand.Rand, kind string, at time.Duration, customer string) string {
	for _, surge := range s.Surges {
		if surge.Customer != "" && surge.covers(kind, at) && random.Float64() < 1-1/max(surge.Factor, 1) {
			return surge.Customer
		}
	}
	return customer
}

// surgingCustomers returns the customers that surges name.
func (s *Scenario) surgingCustomers() map[string]bool {
	names := make(map[string]bool)
	for _, surge := range s.Surges {
		if surge.Customer != "" {
			names[surge.Customer] = true
		}
	}
	return names
}

func (s *Scenario) customers() []string {
	names := sortedKeys(s.GuaranteedAccelerators)
	if len(names) == 0 {
		names = []string{"customer"}
	}
	return names
}

func (k *RequestKind) generateRequest(random *rand.Rand, at time.Duration, customer string, n int) *simRequest {
	tasks := 1 + min(int(random.ExpFloat64()*max(k.MeanTasks-1, 0)+0.5), max(k.MaxTasks, 1)-1)
	accelerators := k.Accelerators[random.IntN(len(k.Accelerators))]
	step := wire.JobStep{
		Count:       tasks,
		Demand:      wire.Resources{CPU: k.cpu(accelerators), Memory: 1024, Accelerators: accelerators},
		Estimate:    time.Duration(float64(k.MeanWork) * math.Exp(0.9*random.NormFloat64())),
		Gang:        tasks > 1 && random.Float64() < k.GangShare,
		Checkpoints: random.Float64() < k.CheckpointShare,
	}
	step.SameRack = step.Gang && random.Float64() < k.SameRackShare
	r := &simRequest{kind: k, submittedAt: at, impossible: random.Float64() < k.ImpossibleShare, state: wire.JobQueued}
	r.work, r.failuresLeft = make([][]time.Duration, 1), make([][]int, 1)
	level := k.drawLevel(random)
	ordinary := 0.0 // mean run time of the tasks without the tail
	for i := range tasks {
		work, base := k.drawTaskWork(random, level)
		if step.Gang && i > 0 {
			work, base = r.work[0][0], ordinary // the members of a gang have equal run times
		}
		ordinary += (base - ordinary) / float64(i+1)
		failures := 0
		for failures < k.Attempts-1 && random.Float64() < k.FailureShare {
			failures++
		}
		if r.impossible {
			failures = k.Attempts
		}
		r.work[0], r.failuresLeft[0] = append(r.work[0], work), append(r.failuresLeft[0], failures)
		r.criticalPath = max(r.criticalPath, time.Duration(1+min(failures, k.Attempts-1))*work)
	}
	if k.EstimateSigma > 0 {
		step.Estimate = time.Duration(ordinary * math.Exp(k.EstimateSigma*random.NormFloat64()))
	}
	if random.Float64() < k.CancelledShare {
		r.cancelAfter = time.Duration(random.Float64() * float64(r.criticalPath))
	}
	r.job = wire.Job{
		ID: jobID(n, k.Name), Queue: k.Name, Customer: customer, Service: "service", Priority: k.Priority, Attempts: k.Attempts,
		Stretch: k.Stretch, Objective: k.Objective, Steps: []wire.JobStep{step},
	}
	return r
}

func (k *RequestKind) cpu(accelerators int) int {
	if k.CPUPerTask > 0 {
		return k.CPUPerTask
	}
	return k.CPUPerAccelerator * accelerators
}

// drawLevel draws the mean run time of the tasks of a job in nanoseconds.
func (k *RequestKind) drawLevel(random *rand.Rand) float64 {
	if k.TaskSigma == 0 {
		return float64(k.MeanWork)
	}
	return float64(k.MeanWork) * drawFactor(random, k.WorkSigma)
}

// drawTaskWork draws the run time of a task of a job with the given level, and the
// same in nanoseconds without the tail of the distribution.
func (k *RequestKind) drawTaskWork(random *rand.Rand, level float64) (work time.Duration, base float64) {
	sigma := k.WorkSigma
	if k.TaskSigma > 0 {
		sigma = k.TaskSigma
	}
	base = level * drawFactor(random, sigma)
	if random.Float64() < k.TailShare {
		return time.Duration(base * k.TailFactor), base
	}
	return time.Duration(base), base
}

// drawFactor draws a log-normal factor with the mean 1.
func drawFactor(random *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

// assignValues sets the values of the jobs of a kind. Larger jobs have a higher
// value.
func assignValues(requests []*simRequest) {
	mean := 0.0
	for _, r := range requests {
		mean += r.coreSeconds() / float64(len(requests))
	}
	for _, r := range requests {
		r.value = r.kind.Value * min(0.3+0.7*r.coreSeconds()/mean, 4)
	}
}

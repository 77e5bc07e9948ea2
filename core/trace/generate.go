package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bramleythread/core/config"
)

// DefaultDuration is the default time that a generated trace covers.
const DefaultDuration = 15 * time.Minute

// Parameters of generated workloads.
const (
	maxDeclaredFactor     = 10   // largest ratio between declared and actual median run time, in either direction
	stragglerShare        = 0.02 // of the jobs of services with stragglers
	minStragglerFactor    = 20   // a straggler runs at least this many times as long
	maxStragglerFactor    = 100
	maxUrgentStartSeconds = 5.7 // bound on the wait of urgent guaranteed jobs
)

// DeploymentError reports a deployment name that Generate does not know.
type DeploymentError struct {
	Name string
}

// Error returns the unknown name and the known ones.
func (e *DeploymentError) Error() string {
	return fmt.Sprintf("trace: no deployment %q; known are puhkekapsel and chaophraya", e.Name)
}

// serviceLoad describes the requests to one service.
type serviceLoad struct {
	service       string
	class         Class
	shape         string
	notRepeatable bool // a job may run at most once
	urgent        bool
	median        time.Duration // median of the actual run time
	sigma         float64       // standard deviation of the logarithm of the run time
	timeout       time.Duration
	rate          float64 // requests per second outside of surges
	surgeFactor   float64 // multiplies the rate during a surge
	stragglers    bool    // a stragglerShare of the jobs are stragglers
	alwaysFails   bool    // on every worker, so the jobs can never succeed
}

// deployment describes the fleet and the load of a generated trace.
type deployment struct {
	name            string
	oneWayDelay     time.Duration
	zones           []string
	workersByRack   []int // number of workers of each rack; rack i is in zones[i]
	customers       []string
	customerWeights []float64 // relative request rates of the customers
	guarantees      []string  // "customer shape count"
	loads           []serviceLoad
	expected        map[string]bounds
}

// bounds are the limits of a measure in an expected outcome.
type bounds struct {
	min, max float64 // NaN for none
}

func upperBound(v float64) bounds { return bounds{min: math.NaN(), max: v} }

// commonBounds apply to every generated trace.
var commonBounds = map[string]bounds{
	measureOpenJobs:  upperBound(0),
	measureUrgentMax: upperBound(maxUrgentStartSeconds),
	measureStarved:   upperBound(0),
}

var deployments = map[string]deployment{
	"puhkekapsel": {
		name:            "puhkekapsel",
		oneWayDelay:     5 * time.Millisecond,
		zones:           []string{"harju-a", "harju-b", "harju-c", "harju-c"},
		workersByRack:   []int{3, 3, 3, 1},
		customers:       []string{"airport", "campus", "offices", "training"},
		customerWeights: []float64{5, 3, 1, 1},
		guarantees:      []string{"airport small 10", "campus small 6", "offices small 2", "training small 2", "training rack 1"},
		loads: []serviceLoad{
			{service: "podcheck", class: Urgent, shape: "small", notRepeatable: true, urgent: true, median: 1500 * time.Millisecond, sigma: 0.4, timeout: 30 * time.Second, rate: 2, surgeFactor: 3},
			{service: "preview", class: Short, shape: "small", median: time.Second, sigma: 0.6, timeout: 60 * time.Second, rate: 5, surgeFactor: 4, stragglers: true},
			{service: "audit", class: Long, shape: "quad", median: 90 * time.Second, sigma: 0.8, timeout: 40 * time.Minute, rate: 0.03, surgeFactor: 3},
			{service: "train", class: Gang, shape: "rack", median: 100 * time.Second, sigma: 0.6, timeout: time.Hour, rate: 0.006, surgeFactor: 2},
			{service: "never", shape: "small", median: time.Second, sigma: 0.1, timeout: 5 * time.Minute, rate: 0.05, surgeFactor: 1, alwaysFails: true},
		},
	},
	"chaophraya": {
		name:            "chaophraya",
		oneWayDelay:     4 * time.Millisecond,
		zones:           []string{"river-a", "river-b", "river-c", "river-d"},
		workersByRack:   []int{3, 3, 3, 1},
		customers:       []string{"delta", "ferry", "harbour", "upriver"},
		customerWeights: []float64{4, 2, 1, 4},
		guarantees:      []string{"delta rack 1", "ferry small 4", "harbour small 4", "upriver small 8"},
		loads: []serviceLoad{
			{service: "slotswap", class: Urgent, shape: "small", notRepeatable: true, urgent: true, median: 800 * time.Millisecond, sigma: 0.3, timeout: 30 * time.Second, rate: 1, surgeFactor: 3},
			{service: "tidecheck", class: Short, shape: "small", median: 500 * time.Millisecond, sigma: 0.5, timeout: 10 * time.Second, rate: 12, surgeFactor: 5, stragglers: true},
			{service: "berthplan", class: Gang, shape: "rack", median: 12 * time.Second, sigma: 0.4, timeout: 5 * time.Minute, rate: 0.03, surgeFactor: 3},
			{service: "survey", class: Long, shape: "pair", median: 40 * time.Second, sigma: 0.8, timeout: 30 * time.Minute, rate: 0.12, surgeFactor: 2},
			{service: "never", shape: "small", median: time.Second, sigma: 0.1, timeout: 5 * time.Minute, rate: 0.05, surgeFactor: 1, alwaysFails: true},
		},
	},
}

const traceShapes = `[shape small]
accelerators = 1
[shape pair]
accelerators = 2
slots = 2
[shape quad]
accelerators = 4
slots = 4
[shape rack]
workers = 3
accelerators = 8
slots = 8
same_rack = true
`

// Generate creates a workload for a known deployment. It contains surges that
// begin within seconds, bursts, stragglers, wrong declared run times, jobs that
// always fail, waves of cancellations, a failing worker, and the outage of a
// worker and of a zone.
func Generate(name string, seed uint64, duration time.Duration) (*Trace, error) {
	d, ok := deployments[name]
	if !ok {
		return nil, &DeploymentError{Name: name}
	}
	g := &generator{deployment: d, duration: duration, rng: rand.New(rand.NewPCG(seed, 0x627261)), trace: &Trace{}}
	g.trace.Header = Header{
		Version:     Version,
		Kind:        Workload,
		Seed:        seed,
		Deployment:  name,
		OneWayDelay: d.oneWayDelay,
		Classes:     make(map[string]Class),
		Config:      g.config(),
	}
	for _, l := range d.loads {
		g.trace.Header.Classes[l.service] = l.class
	}
	g.addWorkers()
	g.drawSurges()
	for _, l := range d.loads {
		g.addRequests(l)
	}
	g.addCancellations()
	g.addFaults()
	g.addExpectedOutcomes()
	slices.SortStableFunc(g.trace.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return g.trace, nil
}

// generator is the state of one call of Generate.
type generator struct {
	deployment  deployment
	duration    time.Duration
	rng         *rand.Rand
	trace       *Trace
	surges      []surge
	workerNames []string
	jobCount    int
}

// surge is an interval of high demand.
type surge struct {
	from, to time.Duration
}

func (g *generator) addEvent(e Event) { g.trace.Events = append(g.trace.Events, e) }

func (g *generator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Float64()*float64(high-low))
}

func (g *generator) config() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\nname = %s\n", g.deployment.name)
	for i, n := range g.deployment.workersByRack {
		fmt.Fprintf(&b, "[rack %s-%d]\nzone = %s\nworkers = %d\nslots = 8\naccelerators = 8\n", g.deployment.zones[i], i, g.deployment.zones[i], n)
	}
	for i, c := range g.deployment.customers {
		fmt.Fprintf(&b, "[customer %s]\ntoken_sha256 = %064x\nweight = %d\n", c, i+1, int(g.deployment.customerWeights[i]))
	}
	b.WriteString(traceShapes)
	for _, guarantee := range g.deployment.guarantees {
		f := strings.Fields(guarantee)
		fmt.Fprintf(&b, "[guarantee %s %s]\ncount = %s\n", f[0], f[1], f[2])
	}
	for _, l := range g.deployment.loads {
		declared := time.Duration(float64(l.median) * math.Pow(maxDeclaredFactor, 2*g.rng.Float64()-1))
		priority := config.Normal
		switch {
		case l.urgent:
			priority = config.Urgent
		case l.class == Long:
			priority = config.Batch
		}
		fmt.Fprintf(&b, "[service %s]\nshape = %s\nrepeatable = %t\ntimeout = %s\nrun_time = %s\ngrace = 2s\npriority = %s\n",
			l.service, l.shape, !l.notRepeatable, l.timeout, declared.Round(time.Millisecond), priority)
	}
	return b.String()
}

func (g *generator) addWorkers() {
	var services []string
	for _, l := range g.deployment.loads {
		services = append(services, l.service)
	}
	for i, n := range g.deployment.workersByRack {
		for k := range n {
			name := fmt.Sprintf("%s-%d-%d", g.deployment.zones[i], i, k)
			g.workerNames = append(g.workerNames, name)
			g.addEvent(Event{
				Kind:     WorkerUp,
				Worker:   name,
				Zone:     g.deployment.zones[i],
				Rack:     fmt.Sprintf("%s-%d", g.deployment.zones[i], i),
				Capacity: &config.Demand{Slots: 8, Accelerators: 8},
				Services: services,
			})
		}
	}
}

// drawSurges draws the intervals of high demand. Demand changes in steps.
func (g *generator) drawSurges() {
	for at := g.randomDuration(30*time.Second, 90*time.Second); at < g.duration; {
		end := at + g.randomDuration(10*time.Second, 40*time.Second)
		g.surges = append(g.surges, surge{from: at, to: end})
		at = end + g.randomDuration(60*time.Second, 150*time.Second)
	}
}

func (g *generator) rate(l serviceLoad, at time.Duration) float64 {
	for _, s := range g.surges {
		if at >= s.from && at < s.to {
			return l.rate * l.surgeFactor
		}
	}
	return l.rate
}

// addRequests adds the arrivals of one service: a Poisson process whose rate
// follows the surges, with bursts of several requests at the same time.
func (g *generator) addRequests(l serviceLoad) {
	maxRate := l.rate * l.surgeFactor
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= g.duration {
			return
		}
		if g.rng.Float64() > g.rate(l, at)/maxRate {
			continue
		}
		n := 1
		if g.rng.Float64() < burstShare {
			n = 2 + g.rng.IntN(maxExtraBurst(l.class))
		}
		customer := g.drawCustomer()
		for range n {
			g.addSubmission(l, customer, at)
		}
	}
}

// burstShare is the share of the arrivals that are bursts.
const burstShare = 0.02

// maxExtraBurst bounds the size of a burst: it has at least 2 requests and fewer
// than 2 plus this number.
func maxExtraBurst(c Class) int {
	if c == Short || c == Urgent {
		return 12
	}
	return 2
}

func (g *generator) addSubmission(l serviceLoad, customer string, at time.Duration) {
	runTime := time.Duration(float64(l.median) * math.Exp(l.sigma*g.rng.NormFloat64()))
	if l.stragglers && g.rng.Float64() < stragglerShare {
		runTime *= time.Duration(minStragglerFactor + g.rng.IntN(maxStragglerFactor-minStragglerFactor))
	}
	g.jobCount++
	g.addEvent(Event{
		At:          at,
		Kind:        Submit,
		Job:         fmt.Sprintf("%s-%d", l.service, g.jobCount),
		Customer:    customer,
		Service:     l.service,
		RunTime:     runTime.Round(time.Millisecond),
		Timeout:     l.timeout,
		AlwaysFails: l.alwaysFails,
	})
}

func (g *generator) drawCustomer() string {
	sum := 0.0
	for _, w := range g.deployment.customerWeights {
		sum += w
	}
	x := g.rng.Float64() * sum
	for i, w := range g.deployment.customerWeights {
		if x -= w; x < 0 {
			return g.deployment.customers[i]
		}
	}
	return g.deployment.customers[0]
}

// addCancellations adds three waves, each of which cancels a part of the jobs
// submitted in the 20 seconds before.
func (g *generator) addCancellations() {
	submitted := slices.Clone(g.trace.Events)
	for range 3 {
		at := g.randomDuration(g.duration/4, g.duration)
		for _, e := range submitted {
			if e.Kind == Submit && e.At < at && e.At > at-20*time.Second && g.rng.Float64() < 0.3 {
				g.addEvent(Event{At: at, Kind: Cancel, Job: e.Job})
			}
		}
	}
}

// addFaults adds a worker on which every task fails for a minute, and the
// temporary outage of one worker and of one zone.
func (g *generator) addFaults() {
	failing := g.workerNames[g.rng.IntN(len(g.workerNames))]
	at := g.randomDuration(g.duration/8, g.duration/4)
	g.addEvent(Event{At: at, Kind: WorkerFailing, Worker: failing})
	g.addEvent(Event{At: at + time.Minute, Kind: WorkerHealed, Worker: failing})
	at = g.randomDuration(g.duration/3, g.duration/2)
	g.addOutage([]string{g.workerNames[g.rng.IntN(len(g.workerNames))]}, at, at+90*time.Second)
	at = g.randomDuration(g.duration*2/3, g.duration*3/4)
	zone := g.deployment.zones[g.rng.IntN(len(g.deployment.zones))]
	var lost []string
	for _, e := range g.trace.Events {
		if e.Kind == WorkerUp && e.Zone == zone && e.At == 0 {
			lost = append(lost, e.Worker)
		}
	}
	g.addOutage(lost, at, at+time.Minute)
}

func (g *generator) addOutage(names []string, from, to time.Duration) {
	for _, name := range names {
		g.addEvent(Event{At: from, Kind: WorkerDown, Worker: name})
		i := slices.IndexFunc(g.trace.Events, func(e Event) bool { return e.Kind == WorkerUp && e.Worker == name })
		up := g.trace.Events[i]
		up.At = to
		g.addEvent(up)
	}
}

// addExpectedOutcomes adds the bounds that a replay must meet under any policy.
func (g *generator) addExpectedOutcomes() {
	for _, boundsByMeasure := range []map[string]bounds{commonBounds, g.deployment.expected} {
		for _, name := range sortedNames(boundsByMeasure) {
			e := Event{At: g.duration, Kind: ExpectedOutcome, Measure: name}
			if s := boundsByMeasure[name]; !math.IsNaN(s.min) {
				e.Min = &s.min
			}
			if s := boundsByMeasure[name]; !math.IsNaN(s.max) {
				e.Max = &s.max
			}
			g.addEvent(e)
		}
	}
}

func sortedNames(boundsByMeasure map[string]bounds) []string {
	names := make([]string, 0, len(boundsByMeasure))
	for name := range boundsByMeasure {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

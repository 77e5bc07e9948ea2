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

// DefaultDuration is the time that a generated trace covers.
const DefaultDuration = 15 * time.Minute

// Limits of generated faults.
const (
	declaredFactor = 10 // declared run times are off by up to this, either way
	stragglerShare = 0.02
	stragglerLow   = 20 // stragglers run this many times longer, at least
	stragglerHigh  = 100
	urgentLimit    = 5.7 // seconds, for urgent guaranteed work to start
)

// DeploymentError tells of a deployment that has no generator.
type DeploymentError struct {
	Name string
}

// Error names the deployment.
func (e *DeploymentError) Error() string {
	return fmt.Sprintf("trace: no deployment %q; known are puhkekapsel and chaophraya", e.Name)
}

// load describes the requests to one service.
type load struct {
	service string
	class   Class
	shape   string
	once    bool // may not be repeated
	urgent  bool
	median  time.Duration // of the true run time
	spread  float64       // standard deviation of its logarithm
	timeout time.Duration
	rate    float64 // requests a second outside of surges
	surge   float64 // factor of the rate during a surge
	strange bool    // some are stragglers
	fails   bool    // on every worker: the jobs can never run
}

// deployment describes a generated site.
type deployment struct {
	name       string
	oneWay     time.Duration
	zones      []string
	racks      []int // workers by rack, one rack to a zone and round again
	customers  []string
	weights    []float64 // of the customers' requests
	guarantees []string
	loads      []load
	outcomes   map[string]stated
}

// stated is a stated outcome.
type stated struct {
	min, max float64 // NaN for none
}

func atMost(v float64) stated { return stated{min: math.NaN(), max: v} }

// always holds for every trace.
var always = map[string]stated{
	measureOpen:      atMost(0),
	measureUrgentMax: atMost(urgentLimit),
	measureStarved:   atMost(0),
}

var deployments = map[string]deployment{
	"puhkekapsel": {
		name:       "puhkekapsel",
		oneWay:     5 * time.Millisecond,
		zones:      []string{"harju-a", "harju-b", "harju-c", "harju-c"},
		racks:      []int{3, 3, 3, 1},
		customers:  []string{"airport", "campus", "offices", "training"},
		weights:    []float64{5, 3, 1, 1},
		guarantees: []string{"airport small 10", "campus small 6", "offices small 2", "training small 2", "training rack 1"},
		loads: []load{
			{service: "podcheck", class: Urgent, shape: "small", once: true, urgent: true, median: 1500 * time.Millisecond, spread: 0.4, timeout: 30 * time.Second, rate: 2, surge: 3},
			{service: "preview", class: Short, shape: "small", median: time.Second, spread: 0.6, timeout: 60 * time.Second, rate: 5, surge: 4, strange: true},
			{service: "audit", class: Long, shape: "quad", median: 90 * time.Second, spread: 0.8, timeout: 40 * time.Minute, rate: 0.03, surge: 3},
			{service: "train", class: Gang, shape: "rack", median: 100 * time.Second, spread: 0.6, timeout: time.Hour, rate: 0.006, surge: 2},
			{service: "never", shape: "small", median: time.Second, spread: 0.1, timeout: 5 * time.Minute, rate: 0.05, surge: 1, fails: true},
		},
	},
	"chaophraya": {
		name:       "chaophraya",
		oneWay:     4 * time.Millisecond,
		zones:      []string{"river-a", "river-b", "river-c", "river-d"},
		racks:      []int{3, 3, 3, 1},
		customers:  []string{"delta", "ferry", "harbour", "upriver"},
		weights:    []float64{4, 2, 1, 4},
		guarantees: []string{"delta rack 1", "ferry small 4", "harbour small 4", "upriver small 8"},
		loads: []load{
			{service: "slotswap", class: Urgent, shape: "small", once: true, urgent: true, median: 800 * time.Millisecond, spread: 0.3, timeout: 30 * time.Second, rate: 1, surge: 3},
			{service: "tidecheck", class: Short, shape: "small", median: 500 * time.Millisecond, spread: 0.5, timeout: 10 * time.Second, rate: 12, surge: 5, strange: true},
			{service: "berthplan", class: Gang, shape: "rack", median: 12 * time.Second, spread: 0.4, timeout: 5 * time.Minute, rate: 0.03, surge: 3},
			{service: "survey", class: Long, shape: "pair", median: 40 * time.Second, spread: 0.8, timeout: 30 * time.Minute, rate: 0.12, surge: 2},
			{service: "never", shape: "small", median: time.Second, spread: 0.1, timeout: 5 * time.Minute, rate: 0.05, surge: 1, fails: true},
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

// Generate makes a workload of a known deployment: surges within
// seconds, bursts, stragglers, wrong declarations, jobs that can never run,
// waves of cancellations, failing workers, and the loss of a worker and of a zone.
func Generate(name string, seed uint64, length time.Duration) (*Trace, error) {
	d, ok := deployments[name]
	if !ok {
		return nil, &DeploymentError{Name: name}
	}
	g := &generator{d: d, length: length, rng: rand.New(rand.NewPCG(seed, 0x627261)), t: &Trace{}}
	g.t.Header = Header{
		Version:     Version,
		Kind:        Workload,
		Seed:        seed,
		Deployment:  name,
		OneWayDelay: d.oneWay,
		Classes:     make(map[string]Class),
		Config:      g.config(),
	}
	for _, l := range d.loads {
		g.t.Header.Classes[l.service] = l.class
	}
	g.workers()
	g.drawSurges()
	for _, l := range d.loads {
		g.requests(l)
	}
	g.cancellations()
	g.faults()
	g.outcomes()
	slices.SortStableFunc(g.t.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return g.t, nil
}

// generator is the state of one Generate.
type generator struct {
	d      deployment
	length time.Duration
	rng    *rand.Rand
	t      *Trace
	surges []surge
	names  []string
	count  int
}

// surge is a time of high demand.
type surge struct {
	from, to time.Duration
}

func (g *generator) add(e Event) { g.t.Events = append(g.t.Events, e) }

func (g *generator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(g.rng.Float64()*float64(high-low))
}

func (g *generator) config() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\nname = %s\n", g.d.name)
	for i, n := range g.d.racks {
		fmt.Fprintf(&b, "[rack %s-%d]\nzone = %s\nworkers = %d\nslots = 8\naccelerators = 8\n", g.d.zones[i], i, g.d.zones[i], n)
	}
	for i, c := range g.d.customers {
		fmt.Fprintf(&b, "[customer %s]\ntoken_sha256 = %064x\nweight = %d\n", c, i+1, int(g.d.weights[i]))
	}
	b.WriteString(traceShapes)
	for _, guarantee := range g.d.guarantees {
		f := strings.Fields(guarantee)
		fmt.Fprintf(&b, "[guarantee %s %s]\ncount = %s\n", f[0], f[1], f[2])
	}
	for _, l := range g.d.loads {
		declared := time.Duration(float64(l.median) * math.Pow(declaredFactor, 2*g.rng.Float64()-1))
		priority := config.Normal
		switch {
		case l.urgent:
			priority = config.Urgent
		case l.class == Long:
			priority = config.Batch
		}
		fmt.Fprintf(&b, "[service %s]\nshape = %s\nrepeatable = %t\ntimeout = %s\nrun_time = %s\ngrace = 2s\npriority = %s\n",
			l.service, l.shape, !l.once, l.timeout, declared.Round(time.Millisecond), priority)
	}
	return b.String()
}

func (g *generator) workers() {
	var services []string
	for _, l := range g.d.loads {
		services = append(services, l.service)
	}
	for i, n := range g.d.racks {
		for k := range n {
			name := fmt.Sprintf("%s-%d-%d", g.d.zones[i], i, k)
			g.names = append(g.names, name)
			g.add(Event{
				Kind:     WorkerUp,
				Worker:   name,
				Zone:     g.d.zones[i],
				Rack:     fmt.Sprintf("%s-%d", g.d.zones[i], i),
				Capacity: &config.Demand{Slots: 8, Accelerators: 8},
				Services: services,
			})
		}
	}
}

// drawSurges draws the times at which the demand jumps within a second.
func (g *generator) drawSurges() {
	for at := g.between(30*time.Second, 90*time.Second); at < g.length; {
		end := at + g.between(10*time.Second, 40*time.Second)
		g.surges = append(g.surges, surge{from: at, to: end})
		at = end + g.between(60*time.Second, 150*time.Second)
	}
}

func (g *generator) rate(l load, at time.Duration) float64 {
	for _, p := range g.surges {
		if at >= p.from && at < p.to {
			return l.rate * l.surge
		}
	}
	return l.rate
}

// requests draws the arrivals of one service as a Poisson process whose rate
// follows the surges, with bursts of several requests at once.
func (g *generator) requests(l load) {
	top := l.rate * l.surge
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / top * float64(time.Second))
		if at >= g.length {
			return
		}
		if g.rng.Float64() > g.rate(l, at)/top {
			continue
		}
		n := 1
		if g.rng.Float64() < burstShare {
			n = 2 + g.rng.IntN(burstSize(l.class))
		}
		customer := g.customer()
		for range n {
			g.submit(l, customer, at)
		}
	}
}

const burstShare = 0.02

func burstSize(c Class) int {
	if c == Short || c == Urgent {
		return 12
	}
	return 2
}

func (g *generator) submit(l load, customer string, at time.Duration) {
	run := time.Duration(float64(l.median) * math.Exp(l.spread*g.rng.NormFloat64()))
	if l.strange && g.rng.Float64() < stragglerShare {
		run *= time.Duration(stragglerLow + g.rng.IntN(stragglerHigh-stragglerLow))
	}
	g.count++
	g.add(Event{
		At:          at,
		Kind:        Submit,
		Job:         fmt.Sprintf("%s-%d", l.service, g.count),
		Customer:    customer,
		Service:     l.service,
		RunTime:     run.Round(time.Millisecond),
		Timeout:     l.timeout,
		AlwaysFails: l.fails,
	})
}

func (g *generator) customer() string {
	sum := 0.0
	for _, w := range g.d.weights {
		sum += w
	}
	x := g.rng.Float64() * sum
	for i, w := range g.d.weights {
		if x -= w; x < 0 {
			return g.d.customers[i]
		}
	}
	return g.d.customers[0]
}

// cancellations cancels a part of what arrived lately, in waves.
func (g *generator) cancellations() {
	submitted := slices.Clone(g.t.Events)
	for range 3 {
		at := g.between(g.length/4, g.length)
		for _, e := range submitted {
			if e.Kind == Submit && e.At < at && e.At > at-20*time.Second && g.rng.Float64() < 0.3 {
				g.add(Event{At: at, Kind: Cancel, Job: e.Job})
			}
		}
	}
}

// faults has one worker fail everything for a while, one worker lost and back,
// and one zone lost and back.
func (g *generator) faults() {
	bad := g.names[g.rng.IntN(len(g.names))]
	at := g.between(g.length/8, g.length/4)
	g.add(Event{At: at, Kind: WorkerFailing, Worker: bad})
	g.add(Event{At: at + time.Minute, Kind: WorkerHealed, Worker: bad})
	at = g.between(g.length/3, g.length/2)
	g.lose([]string{g.names[g.rng.IntN(len(g.names))]}, at, at+90*time.Second)
	at = g.between(g.length*2/3, g.length*3/4)
	zone := g.d.zones[g.rng.IntN(len(g.d.zones))]
	var lost []string
	for _, e := range g.t.Events {
		if e.Kind == WorkerUp && e.Zone == zone && e.At == 0 {
			lost = append(lost, e.Worker)
		}
	}
	g.lose(lost, at, at+time.Minute)
}

func (g *generator) lose(names []string, from, to time.Duration) {
	for _, name := range names {
		g.add(Event{At: from, Kind: WorkerDown, Worker: name})
		i := slices.IndexFunc(g.t.Events, func(e Event) bool { return e.Kind == WorkerUp && e.Worker == name })
		up := g.t.Events[i]
		up.At = to
		g.add(up)
	}
}

// outcomes states what every policy must bring about.
func (g *generator) outcomes() {
	for _, all := range []map[string]stated{always, g.d.outcomes} {
		for _, name := range sortedStated(all) {
			e := Event{At: g.length, Kind: ExpectedOutcome, Measure: name}
			if s := all[name]; !math.IsNaN(s.min) {
				e.Min = &s.min
			}
			if s := all[name]; !math.IsNaN(s.max) {
				e.Max = &s.max
			}
			g.add(e)
		}
	}
}

func sortedStated(m map[string]stated) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

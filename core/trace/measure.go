package trace

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"bramleythread/core/config"
	"bramleythread/core/schedule"
)

// Parameters of the peak-load measures.
const (
	peakWindow = 10 * time.Second
	peakShare  = 0.1 // share of the windows, ordered by offered load, that count as peak
)

// Names of the measures. Times are in seconds.
const (
	measureUrgentMax     = "urgent_start_max"
	measureFragmentation = "fragmentation"
	measurePeakAnswered  = "peak_answered"
	measurePeakOfBound   = "peak_of_bound"
	measureFairness      = "fairness"
	measureStarved       = "starved_customers"
	measureLostWork      = "lost_work"
	measurePreemptions   = "preemptions"
	measureOpenJobs      = "open_jobs"
)

// Result holds the measures of one replay by name, such as
// "short_slowdown_p99".
type Result struct {
	Policy   string
	Measures map[string]float64
}

// meter accumulates measures over the virtual time of a simulation.
type meter struct {
	sim                   *simulation
	blockedTime           time.Duration // time during which placedLong was positive
	placedLong            int           // placed long and gang jobs that run on borrowed capacity
	fragmentationIntegral float64       // fragmentation integrated over seconds
	integratedTime        time.Duration
	lostWork              time.Duration
	preemptions           int
}

func (m *meter) init(sim *simulation) { m.sim = sim }

// integrate accounts for an interval d during which the state is constant.
func (m *meter) integrate(d time.Duration) {
	if m.placedLong > 0 {
		m.blockedTime += d
	}
	m.fragmentationIntegral += m.sim.sched.Fragmentation() * d.Seconds()
	m.integratedTime += d
}

// jobPlaced counts a long or gang job on borrowed capacity, because it keeps
// short jobs from using the slots.
func (m *meter) jobPlaced(j *job) {
	if !j.home && (j.class == Long || j.class == Gang) {
		j.countedAsLong = true
		m.placedLong++
	}
}

// jobUnplaced stops counting a job.
func (m *meter) jobUnplaced(j *job) {
	if j.countedAsLong {
		j.countedAsLong = false
		m.placedLong--
	}
}

// Replay runs a workload under a policy and returns its measures.
func Replay(t *Trace, name string, policy schedule.Policy) (*Result, error) {
	sim, err := newSimulation(t, policy)
	if err != nil {
		return nil, err
	}
	end := replayStart
	for _, e := range t.Events {
		end = maxTime(end, replayStart.Add(e.At+e.Timeout))
	}
	sim.run(end.Add(time.Second))
	return sim.measure(name), nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (sim *simulation) measure(name string) *Result {
	r := &Result{Policy: name, Measures: make(map[string]float64)}
	for _, c := range []Class{Short, Long, Gang, Urgent} {
		sim.measureClass(r, c)
	}
	sim.measurePeak(r)
	r.Measures[measureFragmentation] = sim.meter.fragmentationIntegral / math.Max(sim.meter.integratedTime.Seconds(), 1e-9)
	r.Measures[measureLostWork] = sim.meter.lostWork.Seconds()
	r.Measures[measurePreemptions] = float64(sim.meter.preemptions)
	open := 0
	for _, j := range sim.jobsByArrival {
		if j.outcome == "" {
			open++
		}
	}
	r.Measures[measureOpenJobs] = float64(open)
	return r
}

func (sim *simulation) measureClass(r *Result, c Class) {
	var completion, slowdown, hol, wait []float64
	for _, j := range sim.jobsByArrival {
		if j.class != c {
			continue
		}
		if j.outcome == outcomeRan {
			took := j.ended.Sub(j.arrived).Seconds()
			completion = append(completion, took)
			slowdown = append(slowdown, took/math.Max(j.runTime.Seconds(), 1e-3))
		}
		if j.outcome != outcomeCancelled {
			hol = append(hol, j.headOfLineTime.Seconds())
		}
		if !j.started.IsZero() {
			wait = append(wait, j.started.Sub(j.arrived).Seconds())
		}
	}
	if len(completion) == 0 {
		return
	}
	set := func(measure string, v float64) { r.Measures[string(c)+"_"+measure] = v }
	set("completion_mean", mean(completion))
	set("completion_p50", quantile(completion, 0.5))
	set("completion_p99", quantile(completion, 0.99))
	set("slowdown_mean", mean(slowdown))
	set("slowdown_p99", quantile(slowdown, 0.99))
	set("hol_p99", quantile(hol, 0.99))
	set("wait_mean", mean(wait))
	set("wait_p99", quantile(wait, 0.99))
	if c == Urgent {
		r.Measures[measureUrgentMax] = sim.longestUrgentWait()
	}
}

// longestUrgentWait returns, in seconds, the longest wait of an urgent job that
// arrived within its customer's guarantee.
func (sim *simulation) longestUrgentWait() float64 {
	longest := time.Duration(0)
	for _, j := range sim.jobsByArrival {
		if j.class != Urgent || !j.withinGuarantee || j.outcome == outcomeCancelled {
			continue
		}
		started := j.started
		if started.IsZero() {
			started = j.ended
		}
		longest = max(longest, started.Sub(j.arrived))
	}
	return longest.Seconds()
}

// loadWindow is the load offered during one interval of length peakWindow.
type loadWindow struct {
	load float64 // accelerator-seconds
	jobs []*job
}

// measurePeak computes the measures over the jobs that arrived in the peak
// windows.
func (sim *simulation) measurePeak(r *Result) {
	windows := make(map[int64]*loadWindow)
	for _, j := range sim.jobsByArrival {
		if j.outcome == outcomeCancelled {
			continue
		}
		index := int64(j.arrived.Sub(replayStart) / peakWindow)
		win := windows[index]
		if win == nil {
			win = &loadWindow{}
			windows[index] = win
		}
		win.load += j.acceleratorSeconds(sim.cfg)
		win.jobs = append(win.jobs, j)
	}
	var byLoad []*loadWindow
	for _, x := range windows {
		byLoad = append(byLoad, x)
	}
	slices.SortFunc(byLoad, func(a, b *loadWindow) int {
		return cmp.Or(cmp.Compare(b.load, a.load), a.jobs[0].arrived.Compare(b.jobs[0].arrived))
	})
	n := int(math.Ceil(peakShare * float64(len(byLoad))))
	answered, total, bound := 0, 0, 0
	answeredBy, totalBy := make(map[string]int), make(map[string]int)
	for _, x := range byLoad[:n] {
		for _, j := range x.jobs {
			total++
			totalBy[j.customer]++
			if j.metDeadline() {
				answered++
				answeredBy[j.customer]++
			}
		}
		bound += sim.answerableJobs(x)
	}
	r.Measures[measurePeakAnswered] = ratio(answered, total)
	r.Measures[measurePeakOfBound] = ratio(answered, max(bound, answered))
	r.Measures[measureFairness] = jainIndex(answeredBy, totalBy)
	r.Measures[measureStarved] = countStarved(answeredBy, totalBy)
}

func (j *job) metDeadline() bool { return j.outcome == outcomeRan && !j.ended.After(j.deadline) }

// acceleratorSeconds returns the work of a job in accelerator-seconds.
func (j *job) acceleratorSeconds(cfg *config.Config) float64 {
	shape := cfg.Shape(cfg.Service(j.service).Shape)
	return j.runTime.Seconds() * float64(max(shape.Demand.Accelerators, 1)*shape.Workers)
}

// answerableJobs returns an upper bound on the number of jobs of a window that
// any scheduler can answer in time. It assumes that the whole fleet serves only
// these jobs from the first arrival until the latest deadline, smallest jobs
// first.
func (sim *simulation) answerableJobs(window *loadWindow) int {
	capacity := 0
	for _, r := range sim.cfg.Racks {
		capacity += r.Workers * r.Capacity.Accelerators
	}
	var sizes []float64
	first, last := window.jobs[0].arrived, window.jobs[0].deadline
	for _, j := range window.jobs {
		if j.arrived.Add(j.runTime).After(j.deadline) {
			continue // no scheduler can meet this deadline
		}
		sizes = append(sizes, j.acceleratorSeconds(sim.cfg))
		last = maxTime(last, j.deadline)
	}
	slices.Sort(sizes)
	remaining := float64(capacity) * last.Sub(first).Seconds()
	for i, size := range sizes {
		if remaining -= size; remaining < 0 {
			return i
		}
	}
	return len(sizes)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// jainIndex returns Jain's fairness index of the customers' shares of answered
// jobs.
func jainIndex(answered, total map[string]int) float64 {
	var sum, squares, n float64
	for _, c := range sortedKeys(total) {
		share := ratio(answered[c], total[c])
		sum += share
		squares += share * share
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// countStarved counts the customers with no job answered in time.
func countStarved(answered, total map[string]int) float64 {
	n := 0.0
	for c := range total {
		if answered[c] == 0 {
			n++
		}
	}
	return n
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(len(v), 1))
}

// quantile returns the q-quantile of v by the nearest rank.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[min(int(math.Ceil(q*float64(len(v))))-1, len(v)-1)]
}

// PrintMeasures writes a table with one row per measure and one column per
// replay.
func PrintMeasures(out io.Writer, results []*Result) {
	names := make(map[string]bool)
	for _, r := range results {
		for name := range r.Measures {
			names[name] = true
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	_, _ = fmt.Fprintf(out, "%-24s", "measure")
	for _, r := range results {
		_, _ = fmt.Fprintf(out, "%14s", r.Policy)
	}
	_, _ = fmt.Fprintln(out)
	for _, name := range sorted {
		_, _ = fmt.Fprintf(out, "%-24s", name)
		for _, r := range results {
			_, _ = fmt.Fprintf(out, "%14.3f", r.Measures[name])
		}
		_, _ = fmt.Fprintln(out)
	}
}

// UnmetOutcome is an expected outcome that a replay did not meet.
type UnmetOutcome struct {
	Measure string
	Got     float64
	Min     *float64
	Max     *float64
}

// String returns the measured value and the bounds.
func (d UnmetOutcome) String() string {
	s := fmt.Sprintf("%s is %.3f", d.Measure, d.Got)
	if d.Min != nil {
		s += fmt.Sprintf(", stated at least %.3f", *d.Min)
	}
	if d.Max != nil {
		s += fmt.Sprintf(", stated at most %.3f", *d.Max)
	}
	return s
}

// UnmetOutcomes returns the expected outcomes of the trace that r does not meet.
func (t *Trace) UnmetOutcomes(r *Result) []UnmetOutcome {
	var unmet []UnmetOutcome
	for _, e := range t.Events {
		if e.Kind != ExpectedOutcome {
			continue
		}
		got := r.Measures[e.Measure]
		if e.Min != nil && got < *e.Min || e.Max != nil && got > *e.Max {
			unmet = append(unmet, UnmetOutcome{Measure: e.Measure, Got: got, Min: e.Min, Max: e.Max})
		}
	}
	return unmet
}

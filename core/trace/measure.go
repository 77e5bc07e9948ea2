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

// Windows of the measure of service at peak load.
const (
	peakWindow = 10 * time.Second
	peakShare  = 0.1 // of the windows, those with the most offered load
)

// Names of the measures. The time measures are in seconds.
const (
	measureUrgentMax = "urgent_start_max"
	measureFragment  = "fragmentation"
	measurePeak      = "peak_answered"
	measurePeakBound = "peak_of_bound"
	measureFairness  = "fairness"
	measureStarved   = "starved_customers"
	measureLost      = "lost_work"
	measurePreempted = "preemptions"
	measureOpen      = "open_jobs"
)

// Result is the measures of one replay by name, such as "short_slowdown_p99".
type Result struct {
	Policy   string
	Measures map[string]float64
}

// meter integrates measures while the clock of a world moves.
type meter struct {
	w           *world
	blocking    time.Duration // time during which long work held slots
	long        int           // borrowed long jobs that are placed
	fragment    float64       // integral of the fragmentation
	fragmented  time.Duration
	lost        time.Duration
	preemptions int
}

func (m *meter) init(w *world) { m.w = w }

// integrate accounts for a time during which nothing changes.
func (m *meter) integrate(d time.Duration) {
	if m.long > 0 {
		m.blocking += d
	}
	m.fragment += m.w.sched.Fragmentation() * d.Seconds()
	m.fragmented += d
}

// placed counts a borrowed long job, whose slots short work could have had.
func (m *meter) placed(j *job) {
	if !j.home && (j.class == Long || j.class == Gang) {
		j.counted = true
		m.long++
	}
}

// unplaced ends the count of a job.
func (m *meter) unplaced(j *job) {
	if j.counted {
		j.counted = false
		m.long--
	}
}

// Replay runs a workload under a policy and returns its measures.
func Replay(t *Trace, name string, policy schedule.Policy) (*Result, error) {
	w, err := newWorld(t, policy)
	if err != nil {
		return nil, err
	}
	end := epoch
	for _, e := range t.Events {
		end = maxTime(end, epoch.Add(e.At+e.Timeout))
	}
	w.run(end.Add(time.Second))
	return w.measure(name), nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) measure(name string) *Result {
	r := &Result{Policy: name, Measures: make(map[string]float64)}
	for _, c := range []Class{Short, Long, Gang, Urgent} {
		w.measureClass(r, c)
	}
	w.measurePeak(r)
	r.Measures[measureFragment] = w.meter.fragment / math.Max(w.meter.fragmented.Seconds(), 1e-9)
	r.Measures[measureLost] = w.meter.lost.Seconds()
	r.Measures[measurePreempted] = float64(w.meter.preemptions)
	open := 0
	for _, j := range w.order {
		if j.outcome == "" {
			open++
		}
	}
	r.Measures[measureOpen] = float64(open)
	return r
}

func (w *world) measureClass(r *Result, c Class) {
	var completion, slowdown, hol, wait []float64
	for _, j := range w.order {
		if j.class != c {
			continue
		}
		if j.outcome == outcomeRan {
			took := j.ended.Sub(j.arrived).Seconds()
			completion = append(completion, took)
			slowdown = append(slowdown, took/math.Max(j.run.Seconds(), 1e-3))
		}
		if j.outcome != outcomeCancelled {
			hol = append(hol, j.hol.Seconds())
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
		r.Measures[measureUrgentMax] = w.urgentMax()
	}
}

// urgentMax returns the longest wait of an urgent job that arrived within its
// customer's guarantee, in seconds.
func (w *world) urgentMax() float64 {
	longest := time.Duration(0)
	for _, j := range w.order {
		if j.class != Urgent || !j.guaranteed || j.outcome == outcomeCancelled {
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

// window is the load that was offered in one peakWindow.
type window struct {
	load float64 // accelerator-seconds
	jobs []*job
}

// measurePeak measures the jobs that arrived in the windows with the most
// offered load.
func (w *world) measurePeak(r *Result) {
	windows := make(map[int64]*window)
	for _, j := range w.order {
		if j.outcome == outcomeCancelled {
			continue
		}
		k := int64(j.arrived.Sub(epoch) / peakWindow)
		x := windows[k]
		if x == nil {
			x = &window{}
			windows[k] = x
		}
		x.load += j.work(w.cfg)
		x.jobs = append(x.jobs, j)
	}
	var sorted []*window
	for _, x := range windows {
		sorted = append(sorted, x)
	}
	slices.SortFunc(sorted, func(a, b *window) int {
		return cmp.Or(cmp.Compare(b.load, a.load), a.jobs[0].arrived.Compare(b.jobs[0].arrived))
	})
	n := int(math.Ceil(peakShare * float64(len(sorted))))
	answered, total, bound := 0, 0, 0
	in, all := make(map[string]int), make(map[string]int)
	for _, x := range sorted[:n] {
		for _, j := range x.jobs {
			total++
			all[j.customer]++
			if j.inTime() {
				answered++
				in[j.customer]++
			}
		}
		bound += w.bound(x)
	}
	r.Measures[measurePeak] = ratio(answered, total)
	r.Measures[measurePeakBound] = ratio(answered, max(bound, answered))
	r.Measures[measureFairness] = jain(in, all)
	r.Measures[measureStarved] = starved(in, all)
}

func (j *job) inTime() bool { return j.outcome == outcomeRan && !j.ended.After(j.deadline) }

// work returns the accelerator-seconds that a job needs.
func (j *job) work(cfg *config.Config) float64 {
	shape := cfg.Shape(cfg.Service(j.service).Shape)
	return j.run.Seconds() * float64(max(shape.Demand.Accelerators, 1)*shape.Workers)
}

// bound returns how many jobs of a window any scheduler could answer in time,
// if the whole fleet served nothing else from the window's start until the
// latest deadline: the smallest first, as far as the accelerator-seconds reach.
func (w *world) bound(x *window) int {
	capacity := 0
	for _, r := range w.cfg.Racks {
		capacity += r.Workers * r.Capacity.Accelerators
	}
	var sizes []float64
	first, last := x.jobs[0].arrived, x.jobs[0].deadline
	for _, j := range x.jobs {
		if j.arrived.Add(j.run).After(j.deadline) {
			continue // nobody could
		}
		sizes = append(sizes, j.work(w.cfg))
		last = maxTime(last, j.deadline)
	}
	slices.Sort(sizes)
	left := float64(capacity) * last.Sub(first).Seconds()
	for i, size := range sizes {
		if left -= size; left < 0 {
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

// jain returns Jain's fairness index of the customers' answered shares.
func jain(in, all map[string]int) float64 {
	var sum, squares, n float64
	for _, c := range sortedKeys(all) {
		share := ratio(in[c], all[c])
		sum += share
		squares += share * share
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// starved counts the customers that got nothing answered in time.
func starved(in, all map[string]int) float64 {
	n := 0.0
	for c := range all {
		if in[c] == 0 {
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

// PrintMeasures writes the measures of several replays side by side.
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

// UnmetOutcome is a stated outcome that a replay did not meet.
type UnmetOutcome struct {
	Measure string
	Got     float64
	Min     *float64
	Max     *float64
}

// String describes the difference.
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

// UnmetOutcomes returns the stated outcomes of the trace that r does not meet.
func (t *Trace) UnmetOutcomes(r *Result) []UnmetOutcome {
	var differences []UnmetOutcome
	for _, e := range t.Events {
		if e.Kind != ExpectedOutcome {
			continue
		}
		got := r.Measures[e.Measure]
		if e.Min != nil && got < *e.Min || e.Max != nil && got > *e.Max {
			differences = append(differences, UnmetOutcome{Measure: e.Measure, Got: got, Min: e.Min, Max: e.Max})
		}
	}
	return differences
}

// Experiment simulates a scenario with many seeds under several policies, prints
// a table of the results and plots the value earned over time.
//
//	go run ./tools/experiment -scenario examples/scenarios/chaophraya.ini -seeds 50
package main

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"bramleythread/core/emulate"
	"bramleythread/core/job"

	"github.com/rotisserie/eris"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: %s\n", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run() error {
	file := flag.String("scenario", "", "scenario `FILE`")
	seeds := flag.Int("seeds", 50, "number of seeds")
	names := flag.String("policies", "present,fcfs", "policies to compare, the first one against the others; all of them: "+
		strings.Join(slices.Sorted(maps.Keys(job.Policies)), ","))
	burst := flag.String("burst", "", "`CUSTOMER` whose requests are all those that the surges add")
	factor := flag.Float64("burst-factor", 0, "factor of the surges, in place of the scenario's")
	plot := flag.String("plot", "", "SVG `FILE` to draw the value earned over time")
	flag.Parse()
	s, err := emulate.Load(*file)
	if err != nil {
		return err
	}
	for i := range s.Surges {
		if *burst != "" {
			s.Surges[i].Customer = *burst
		}
		if *factor > 0 {
			s.Surges[i].Factor = *factor
		}
	}
	var results []result
	for _, name := range strings.Split(*names, ",") {
		policy, ok := job.Policies[name]
		if !ok {
			return eris.Errorf("no policy %q", name)
		}
		results = append(results, simulateSeeds(s, name, policy, *seeds))
	}
	if err := printTable(os.Stdout, s, results); err != nil {
		return err
	}
	if err := printDifferences(os.Stdout, results); err != nil || *plot == "" {
		return err
	}
	return drawCurves(*plot, s.Name, results)
}

// result holds the outcomes of one policy, one per seed.
type result struct {
	name        string
	outcomes    []*emulate.Outcome
	timePerSeed time.Duration // elapsed time divided by the number of seeds, which run in parallel
}

func simulateSeeds(s *emulate.Scenario, name string, policy job.Policy, seeds int) result {
	r := result{name: name, outcomes: make([]*emulate.Outcome, seeds)}
	start := time.Now()
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, max(min(runtime.NumCPU()/2, runtime.GOMAXPROCS(0)), 1))
	for i := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			r.outcomes[i] = emulate.Simulate(s, policy, uint64(i+1))
		}()
	}
	wg.Wait()
	r.timePerSeed = time.Since(start) / time.Duration(seeds)
	return r
}

// mean returns the mean of f over the seeds.
func (r *result) mean(f func(o *emulate.Outcome) float64) float64 {
	total := 0.0
	for _, o := range r.outcomes {
		total += f(o)
	}
	return total / float64(len(r.outcomes))
}

// worst returns the minimum of f over the seeds.
func (r *result) worst(f func(o *emulate.Outcome) float64) float64 {
	lowest := f(r.outcomes[0])
	for _, o := range r.outcomes {
		lowest = min(lowest, f(o))
	}
	return lowest
}

func smallestValue(m map[string]float64) float64 {
	if len(m) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(m)))
}

// tableRows are the rows of the result table; each is a mean over the seeds.
var tableRows = []struct {
	name  string
	value func(o *emulate.Outcome) float64
}{
	{"value earned, share", (*emulate.Outcome).EarnedShare},
	{"at the crest, share", func(o *emulate.Outcome) float64 { return o.SurgeShare }},
	{"work thrown away, share", func(o *emulate.Outcome) float64 { return o.WastedShare }},
	{"accelerator-seconds free while work waits", func(o *emulate.Outcome) float64 { return o.IdleAcceleratorSeconds }},
	{"worst kind, share", func(o *emulate.Outcome) float64 { return smallestValue(o.ShareByKind) }},
	{"largest tenth over its kind, least", func(o *emulate.Outcome) float64 { return smallestValue(o.LargestTenthRatio) }},
	{"worst customer over the mean", func(o *emulate.Outcome) float64 { return smallestValue(o.ShareByCustomer) / max(o.EarnedShare(), 1e-9) }},
	{"customers without a surge, share", func(o *emulate.Outcome) float64 { return o.UndisturbedShare }},
	{"urgent jobs late, share", func(o *emulate.Outcome) float64 { return o.UrgentLateShare }},
	{"mean completion, s", func(o *emulate.Outcome) float64 { return o.MeanCompletion.Seconds() }},
	{"wasted core-seconds", func(o *emulate.Outcome) float64 { return o.WastedCoreSeconds }},
	{"urgent jobs, p95 s", func(o *emulate.Outcome) float64 { return o.UrgentP95.Seconds() }},
	{"failed that could be done", func(o *emulate.Outcome) float64 { return float64(o.FailedJobs) }},
	{"without an end", func(o *emulate.Outcome) float64 { return float64(o.OpenJobs) }},
}

func printTable(out io.Writer, s *emulate.Scenario, results []result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	jobs := results[0].mean(func(o *emulate.Outcome) float64 { return float64(o.Jobs) })
	line := func(name string, cell func(r *result) string) {
		cells := []string{name}
		for i := range results {
			cells = append(cells, cell(&results[i]))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")+"\t") // Flush returns write errors
	}
	line(fmt.Sprintf("%s, %d seeds, %.0f jobs a seed", s.Name, len(results[0].outcomes), jobs), func(r *result) string { return r.name })
	for _, f := range tableRows {
		line(f.name, func(r *result) string { return fmt.Sprintf("%.3f", r.mean(f.value)) })
	}
	line("worst seed, value earned", func(r *result) string { return fmt.Sprintf("%.3f", r.worst((*emulate.Outcome).EarnedShare)) })
	line("ms a play", func(r *result) string { return strconv.FormatInt(r.timePerSeed.Milliseconds(), 10) })
	return w.Flush()
}

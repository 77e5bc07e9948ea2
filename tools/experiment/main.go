// Experiment plays a scenario with many seeds under several policies, prints what
// callers get and draws the value that is earned over time.
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
	plot := flag.String("plot", "", "SVG `FILE` to draw the value earned over time")
	flag.Parse()
	s, err := emulate.Load(*file)
	if err != nil {
		return err
	}
	var results []result
	for _, name := range strings.Split(*names, ",") {
		policy, ok := job.Policies[name]
		if !ok {
			return eris.Errorf("no policy %q", name)
		}
		results = append(results, play(s, name, policy, *seeds))
	}
	if err := printTable(os.Stdout, s, results); err != nil || *plot == "" {
		return err
	}
	return drawCurves(*plot, s.Name, results)
}

// result is what a policy has given in all seeds.
type result struct {
	name     string
	outcomes []*emulate.Outcome
	took     time.Duration
}

func play(s *emulate.Scenario, name string, policy job.Policy, seeds int) result {
	r := result{name: name, outcomes: make([]*emulate.Outcome, seeds)}
	start := time.Now()
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(runtime.NumCPU()/2, 1))
	for i := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			r.outcomes[i] = emulate.Simulate(s, policy, uint64(i+1))
		}()
	}
	wg.Wait()
	r.took = time.Since(start) / time.Duration(seeds)
	return r
}

// mean and worst of a figure over the seeds.
func (r *result) mean(f func(o *emulate.Outcome) float64) float64 {
	total := 0.0
	for _, o := range r.outcomes {
		total += f(o)
	}
	return total / float64(len(r.outcomes))
}

func (r *result) worst(f func(o *emulate.Outcome) float64) float64 {
	least := f(r.outcomes[0])
	for _, o := range r.outcomes {
		least = min(least, f(o))
	}
	return least
}

func least(m map[string]float64) float64 {
	if len(m) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(m)))
}

// figures are the rows of the table.
var figures = []struct {
	name string
	of   func(o *emulate.Outcome) float64
}{
	{"value earned, share", (*emulate.Outcome).EarnedShare},
	{"at the crest, share", func(o *emulate.Outcome) float64 { return o.SurgeShare }},
	{"work thrown away, share", func(o *emulate.Outcome) float64 { return o.WastedShare }},
	{"accelerator-seconds free while work waits", func(o *emulate.Outcome) float64 { return o.IdleAcceleratorSeconds }},
	{"worst kind, share", func(o *emulate.Outcome) float64 { return least(o.ShareByKind) }},
	{"largest tenth over its kind, least", func(o *emulate.Outcome) float64 { return least(o.LargestTenthRatio) }},
	{"worst customer over the mean", func(o *emulate.Outcome) float64 { return least(o.ShareByCustomer) / max(o.EarnedShare(), 1e-9) }},
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
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")+"\t") // Flush tells of errors
	}
	line(fmt.Sprintf("%s, %d seeds, %.0f jobs a seed", s.Name, len(results[0].outcomes), jobs), func(r *result) string { return r.name })
	for _, f := range figures {
		line(f.name, func(r *result) string { return fmt.Sprintf("%.3f", r.mean(f.of)) })
	}
	line("worst seed, value earned", func(r *result) string { return fmt.Sprintf("%.3f", r.worst((*emulate.Outcome).EarnedShare)) })
	line("ms a play", func(r *result) string { return strconv.FormatInt(r.took.Milliseconds(), 10) })
	return w.Flush()
}

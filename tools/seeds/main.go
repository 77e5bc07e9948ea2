// Seeds replays workloads generated from many seeds under the policy and the
// baseline, and prints the mean and the worst seed for each goal.
//
//	go run ./tools/seeds -deployment puhkekapsel|chaophraya -seeds 20
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"sync"
	"time"

	"bramleythread/core/schedule"
	"bramleythread/core/trace"
)

// goal is a limit that a figure should meet for every seed.
type goal struct {
	name       string
	value      func(policy, baseline map[string]float64) float64
	limit      float64
	upperBound bool // limit is an upper bound, otherwise a lower one
}

// minDenominator, in seconds, keeps a ratio finite if the baseline is zero.
const minDenominator = 0.001

func ratioToBaseline(measure string) func(policy, baseline map[string]float64) float64 {
	return func(policy, baseline map[string]float64) float64 {
		return policy[measure] / math.Max(baseline[measure], minDenominator)
	}
}

func policyMeasure(measure string) func(policy, baseline map[string]float64) float64 {
	return func(policy, _ map[string]float64) float64 { return policy[measure] }
}

var goals = map[string][]goal{
	"puhkekapsel": {
		{"short head-of-line p99 / fcfs", ratioToBaseline("short_hol_p99"), 1.0 / 20, true},
		{"short slowdown p99", policyMeasure("short_slowdown_p99"), 2, true},
		{"long completion mean / fcfs", ratioToBaseline("long_completion_mean"), 1.1, true},
		{"urgent start max, s", policyMeasure("urgent_start_max"), 5.7, true},
		{"starved customers", policyMeasure("starved_customers"), 0, true},
		{"jobs without an outcome", policyMeasure("open_jobs"), 0, true},
	},
	"chaophraya": {
		{"peak answered / bound", policyMeasure("peak_of_bound"), 0.98, false},
		{"gang wait mean / fcfs", ratioToBaseline("gang_wait_mean"), 1.0 / 3, true},
		{"gang wait p99 / fcfs", ratioToBaseline("gang_wait_p99"), 1.0 / 3, true},
		{"gang wait mean, s", policyMeasure("gang_wait_mean"), 0, true},
		{"fragmentation", policyMeasure("fragmentation"), 0.9, false},
		{"urgent start max, s", policyMeasure("urgent_start_max"), 5.7, true},
		{"starved customers", policyMeasure("starved_customers"), 0, true},
		{"jobs without an outcome", policyMeasure("open_jobs"), 0, true},
	},
}

func main() {
	deployment := flag.String("deployment", "", "puhkekapsel or chaophraya")
	seeds := flag.Int("seeds", 20, "number of seeds, from 1")
	length := flag.Duration("length", trace.DefaultDuration, "time that each trace covers")
	without := flag.String("without", "", "rule to leave out of the policy")
	flag.Parse()
	if err := run(*deployment, *seeds, *length, *without); err != nil {
		fmt.Fprintln(os.Stderr, "seeds:", err)
		os.Exit(1)
	}
}

// disableRule disables one rule of the policy.
func disableRule(p schedule.Policy, rule string) (schedule.Policy, error) {
	rules := map[string]func(){
		"":           func() {},
		"shortfirst": func() { p.ShortFirst = false },
		"fairshare":  func() { p.FairShare = false },
		"bestfit":    func() { p.BestFit = false },
		"reserve":    func() { p.Reserve = false },
		"hints":      func() { p.DeclaredRunTimes = false },
		"ageing":     func() { p.Ageing = 0 },
		"stragglers": func() { p.Stragglers = false },
		"makeroom":   func() { p.MakeRoom = false },
		"defragment": func() { p.Defragment = false },
		"headroom":   func() { p.Headroom = false },
	}
	disable, ok := rules[rule]
	if !ok {
		return p, fmt.Errorf("no rule %q", rule)
	}
	disable()
	return p, nil
}

// outcome holds the measures of one seed under the policy and the baseline.
type outcome struct {
	seed             uint64
	policy, baseline map[string]float64
	err              error
}

func run(deployment string, seeds int, length time.Duration, without string) error {
	policy, err := disableRule(schedule.DefaultPolicy(), without)
	if err != nil {
		return err
	}
	outcomes := make([]outcome, seeds)
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			outcomes[i] = replay(deployment, uint64(i+1), length, policy)
		}()
	}
	wg.Wait()
	for _, o := range outcomes {
		if o.err != nil {
			return o.err
		}
	}
	printGoals(deployment, outcomes)
	return nil
}

func replay(deployment string, seed uint64, length time.Duration, policy schedule.Policy) outcome {
	t, err := trace.Generate(deployment, seed, length)
	if err != nil {
		return outcome{err: err}
	}
	policyResult, err := trace.Replay(t, "policy", policy)
	if err != nil {
		return outcome{err: err}
	}
	baselineResult, err := trace.Replay(t, "fcfs", schedule.BaselinePolicy())
	if err != nil {
		return outcome{err: err}
	}
	return outcome{seed: seed, policy: policyResult.Measures, baseline: baselineResult.Measures}
}

func printGoals(deployment string, outcomes []outcome) {
	fmt.Printf("%-32s %8s %8s %8s %6s %6s\n", "goal", "limit", "mean", "worst", "seed", "met")
	for _, g := range goals[deployment] {
		sum, met := 0.0, 0
		worst, seed := math.NaN(), uint64(0)
		for _, o := range outcomes {
			v := g.value(o.policy, o.baseline)
			sum += v
			if g.meets(v) {
				met++
			}
			if math.IsNaN(worst) || g.upperBound == (v > worst) && v != worst {
				worst, seed = v, o.seed
			}
		}
		fmt.Printf("%-32s %8.3f %8.3f %8.3f %6d %3d/%d\n", g.name, g.limit, sum/float64(len(outcomes)), worst, seed, met, len(outcomes))
	}
}

func (g goal) meets(v float64) bool {
	if g.upperBound {
		return v <= g.limit
	}
	return v >= g.limit
}

// Seeds replays generated workloads of many seeds under the policy and its
// baselines, and prints the goals with the worst seed of each.
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

// goal is a figure that is wanted of every seed.
type goal struct {
	name  string
	value func(policy, base map[string]float64) float64
	limit float64
	most  bool // the limit is an upper one
}

// floor keeps a ratio finite where the policy leaves nothing; in seconds.
const floor = 0.001

func over(measure string) func(policy, base map[string]float64) float64 {
	return func(policy, base map[string]float64) float64 {
		return policy[measure] / math.Max(base[measure], floor)
	}
}

func own(measure string) func(policy, base map[string]float64) float64 {
	return func(policy, _ map[string]float64) float64 { return policy[measure] }
}

var goals = map[string][]goal{
	"puhkekapsel": {
		{"short head-of-line p99 / fcfs", over("short_hol_p99"), 1.0 / 20, true},
		{"short slowdown p99", own("short_slowdown_p99"), 2, true},
		{"long completion mean / fcfs", over("long_completion_mean"), 1.1, true},
		{"urgent start max, s", own("urgent_start_max"), 5.7, true},
		{"starved customers", own("starved_customers"), 0, true},
		{"jobs without an outcome", own("open_jobs"), 0, true},
	},
	"chaophraya": {
		{"peak answered / bound", own("peak_of_bound"), 0.98, false},
		{"gang wait mean / fcfs", over("gang_wait_mean"), 1.0 / 3, true},
		{"gang wait p99 / fcfs", over("gang_wait_p99"), 1.0 / 3, true},
		{"gang wait mean, s", own("gang_wait_mean"), 0, true},
		{"fragmentation", own("fragmentation"), 0.9, false},
		{"urgent start max, s", own("urgent_start_max"), 5.7, true},
		{"starved customers", own("starved_customers"), 0, true},
		{"jobs without an outcome", own("open_jobs"), 0, true},
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

// leaveOut turns one rule of the policy off.
func leaveOut(p schedule.Policy, rule string) (schedule.Policy, error) {
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
	off, ok := rules[rule]
	if !ok {
		return p, fmt.Errorf("no rule %q", rule)
	}
	off()
	return p, nil
}

// outcome is the measures of one seed.
type outcome struct {
	seed         uint64
	policy, base map[string]float64
	err          error
}

func run(deployment string, seeds int, length time.Duration, without string) error {
	policy, err := leaveOut(schedule.DefaultPolicy(), without)
	if err != nil {
		return err
	}
	outcomes := make([]outcome, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			outcomes[i] = replay(deployment, uint64(i+1), length, policy)
		}()
	}
	wg.Wait()
	for _, o := range outcomes {
		if o.err != nil {
			return o.err
		}
	}
	report(deployment, outcomes)
	return nil
}

func replay(deployment string, seed uint64, length time.Duration, policy schedule.Policy) outcome {
	t, err := trace.Generate(deployment, seed, length)
	if err != nil {
		return outcome{err: err}
	}
	p, err := trace.Replay(t, "policy", policy)
	if err != nil {
		return outcome{err: err}
	}
	b, err := trace.Replay(t, "fcfs", schedule.BaselinePolicy())
	if err != nil {
		return outcome{err: err}
	}
	return outcome{seed: seed, policy: p.Measures, base: b.Measures}
}

func report(deployment string, outcomes []outcome) {
	fmt.Printf("%-32s %8s %8s %8s %6s %6s\n", "goal", "limit", "mean", "worst", "seed", "met")
	for _, g := range goals[deployment] {
		sum, met := 0.0, 0
		worst, seed := math.NaN(), uint64(0)
		for _, o := range outcomes {
			v := g.value(o.policy, o.base)
			sum += v
			if g.meets(v) {
				met++
			}
			if math.IsNaN(worst) || g.most == (v > worst) && v != worst {
				worst, seed = v, o.seed
			}
		}
		fmt.Printf("%-32s %8.3f %8.3f %8.3f %6d %3d/%d\n", g.name, g.limit, sum/float64(len(outcomes)), worst, seed, met, len(outcomes))
	}
}

func (g goal) meets(v float64) bool {
	if g.most {
		return v <= g.limit
	}
	return v >= g.limit
}

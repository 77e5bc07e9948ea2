package estimate

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWideStepTellsClassesApart guards against speeds that are learned only from runs
// that have ended, or that are attributed to the step.
func TestWideStepTellsClassesApart(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			is := is.New(t)
			p := newPlay(seed, twoClasses(30))
			w, u := p.step(30)
			totals := make([]time.Duration, 30)
			for i := range totals {
				totals[i] = p.time(u, i)
			}
			for _, elapsed := range []time.Duration{500 * time.Millisecond, time.Second} {
				for i, total := range totals {
					p.Observe(observation(w, strconv.Itoa(i), elapsed, total, i))
				}
			}
			rms, normalised := p.errors()
			is.True(rms < 0.3) // the classes differ by 0.89
			is.True(normalised < 1.5)
			is.True(p.classDifference() > 0.55) // the prior leaves 0.65 of it on average
		})
	}
}

// TestGangsTellClassesApart guards against a gang's pace being attributed to all of its
// members alike.
func TestGangsTellClassesApart(t *testing.T) {
	for size, least := range map[int]float64{2: 0.7, 4: 0.4} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d/%d", size, seed), func(t *testing.T) {
				is := is.New(t)
				p := newPlay(seed, twoClasses(12))
				p.spread = 0.2
				for range 100 {
					w, u := p.step(size)
					w.Gang = true
					members := p.random.Perm(12)[:size]
					p.run(w, p.time(u, members...), members...)
				}
				is.True(p.classDifference() > least) // of 0.89
				fast := p.Forecast(Work{Queue: "q"}, id(1))
				mixed := p.Forecast(Work{Queue: "q"}, id(1), id(3))
				slow := p.Forecast(Work{Queue: "q"}, id(3))
				is.True(mixed.Median > fast.Median && mixed.Median >= slow.Median) // a gang runs at the pace of its slowest member
			})
		}
	}
}

// TestUncertaintyOfGangs guards against factors that are wrong and stated as certain, where
// results of gangs do not suffice to tell workers apart.
func TestUncertaintyOfGangs(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			is := is.New(t)
			p := newPlay(seed, twoClasses(12))
			for range 400 {
				w, u := p.step(4)
				members := p.random.Perm(12)[:4]
				p.run(w, p.time(u, members...), members...)
			}
			_, normalised := p.errors()
			is.True(normalised < 2.2)
		})
	}
}

// TestEqualWorkers guards against workers that are told apart by chance alone, and
// against forecasts that, after three runs of each worker, are worse than the mean of the
// newest runs of the queue.
func TestEqualWorkers(t *testing.T) {
	for name, tasks := range map[string]int{"single tasks": 1, "steps of three tasks": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			errors, baseline := 0.0, 0.0
			for seed := range uint64(5) {
				p := newPlay(seed, make([]float64, 20))
				mean := 0.0
				for n := range 300 {
					w, u := p.step(tasks)
					for k, i := range p.random.Perm(20)[:tasks] {
						total, forecast := p.time(u, i), p.Forecast(w, id(i)).Median.Seconds()
						p.Observe(observation(w, strconv.Itoa(k), time.Hour, total, i))
						if n >= 60 {
							errors += math.Abs(math.Log(total.Seconds() / forecast))
							baseline += math.Abs(math.Log(total.Seconds() / mean))
						}
						mean = cmp.Or(mean, total.Seconds())
						mean += 0.1 * (total.Seconds() - mean)
					}
				}
				_, normalised := p.errors()
				is.True(normalised < 1.5)
				for i := range 20 {
					f := p.Slowness(id(i))
					is.True(math.Abs(f.Log) < 3.5*f.Sigma) // the largest of 20
				}
			}
			is.True(errors < baseline)
		})
	}
}

// TestOutlierShiftsFactorLittle guards against work that takes 7 times as long making
// its worker look slow.
func TestOutlierShiftsFactorLittle(t *testing.T) {
	is := is.New(t)
	p := newPlay(1, make([]float64, 10))
	for range 4 {
		p.wideStep(10)
	}
	before := p.Slowness(id(0))
	w, u := p.step(10)
	for i := range 10 {
		total := p.time(u, i)
		if i == 0 {
			total *= 7
		}
		p.Observe(observation(w, strconv.Itoa(i), time.Hour, total, i))
	}
	is.True(math.Abs(p.Slowness(id(0)).Log-before.Log) < 0.15)
}

// TestChangedWorkerIsLearnedAgain guards against factors that no longer change once they
// are known well.
func TestChangedWorkerIsLearnedAgain(t *testing.T) {
	for name, to := range map[string]float64{"slower": 1.7, "faster": 0.3} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				is := is.New(t)
				p := newPlay(seed, twoClasses(30))
				for range 40 {
					p.wideStep(30)
				}
				is.True(math.Abs(p.Slowness(id(1)).Log) < 0.2)
				p.logs[1] = math.Log(to)
				for range 10 {
					p.wideStep(4)
				}
				is.True(math.Abs(p.Slowness(id(1)).Log-math.Log(to/0.7)) < 0.35) // of 0.87
			})
		}
	}
}

// TestWrongEstimates guards against estimates that are believed although they are wrong,
// and against useful ones that are ignored.
func TestWrongEstimates(t *testing.T) {
	for name, tt := range map[string]struct{ estimateError, bias, spread, limit float64 }{
		"too low by half and scattered": {estimateError: 0.9, bias: -0.7, spread: 0.4, limit: 0.48}, // sqrt(0.4² + 0.2²) without any
		"good, and the queue is mixed":  {estimateError: 0.3, bias: 0, spread: 0.9, limit: 0.5},     // 0.92 without any
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlay(1, make([]float64, 10))
			p.estimateError, p.bias, p.spread = tt.estimateError, tt.bias, tt.spread
			var squares float64
			for k := range 400 {
				w, u := p.step(1)
				forecast, total := p.Forecast(w).Median.Seconds(), p.time(u, k%10)
				p.run(w, total, k%10)
				if d := math.Log(total.Seconds() / forecast); k >= 100 {
					squares += d * d / 300
				}
			}
			is.True(math.Sqrt(squares) < tt.limit)
		})
	}
}

// TestRepeatedObservationsOfARun guards against a run that is counted once for each of
// its reports.
func TestRepeatedObservationsOfARun(t *testing.T) {
	is := is.New(t)
	once, often := newPlay(1, make([]float64, 2)), newPlay(1, make([]float64, 2))
	w, _ := once.step(1)
	o := observation(w, "", 2*time.Second, 4*time.Second, 0)
	once.Observe(o)
	for range 100 {
		often.Observe(o)
	}
	is.True(math.Abs(once.Slowness(id(0)).Sigma-often.Slowness(id(0)).Sigma) < 0.01)
	is.True(math.Abs(once.Forecast(w).Sigma-often.Forecast(w).Sigma) < 0.01)
	often.Discard(o.Run)
	is.True(math.Abs(often.Slowness(id(0)).Sigma-New(Config{}).Slowness(id(0)).Sigma) < 0.01) // nothing is left of it
}

// TestPriorDoesNotOverrideKnowledge guards against a late or broken report that replaces
// what has been learned.
func TestPriorDoesNotOverrideKnowledge(t *testing.T) {
	is := is.New(t)
	p := newPlay(1, make([]float64, 4))
	for _, s := range []Slowness{{Log: math.NaN(), Sigma: 0.1}, {Log: 1, Sigma: math.NaN()}, {Log: math.Inf(1), Sigma: 0.1}, {Log: 1}, {Log: 1, Sigma: -1}, {Log: 9, Sigma: 0.1}} {
		p.SetPrior(id(0), s)
		is.Equal(p.Slowness(id(0)), New(Config{}).Slowness(id(0)))
	}
	p.SetPrior(id(0), Slowness{Log: 0.8, Sigma: 0.1})
	p.SetPrior(id(0), Slowness{Log: -0.8, Sigma: 0.3})
	is.True(math.Abs(p.Slowness(id(0)).Log-0.8) < 0.01)
	for range 3 {
		p.wideStep(4)
	}
	before := p.Slowness(id(1))
	p.SetPrior(id(1), Slowness{Log: 2, Sigma: 0.05})
	is.Equal(p.Slowness(id(1)), before)
}

// TestInvalidObservations guards against values that are not finite spreading to all
// forecasts.
func TestInvalidObservations(t *testing.T) {
	is := is.New(t)
	w := Work{Step: "s", Queue: "q", Tasks: -1, Estimate: math.MaxInt64}
	e := New(Config{})
	for _, o := range []Observation{
		{Workers: []string{"w"}, Elapsed: time.Second, Share: math.NaN()}, {Workers: []string{"w"}, Elapsed: time.Second, Share: -1},
		{Workers: []string{"w"}, Share: 1}, {Workers: []string{"w"}, Elapsed: -time.Second, Share: 1}, {Elapsed: time.Second, Share: 1},
		{Workers: []string{"w"}, Elapsed: 200 * time.Millisecond, Share: 0.5},
	} {
		o.Work, o.Run = w, "r"
		e.Observe(o)
	}
	is.Equal(len(e.runs), 0)
	is.Equal(len(e.workers), 0)
	e.Observe(Observation{Work: w, Run: "r", Workers: []string{"w", "w", "x"}, Elapsed: math.MaxInt64, Share: math.Inf(1), Finished: true})
	f := e.Forecast(w, "w", "x", "never seen")
	is.True(f.Sigma > 0 && f.Sigma < 10 && f.Median > 0)
}

// TestStateIsBounded guards against a process that grows with the work it has seen.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	p := newPlay(1, make([]float64, 40))
	p.Estimator = New(Config{MaxWorkers: 16, MaxSteps: 8, MaxKinds: 12, MaxRuns: 30})
	for k := range 500 {
		w, u := p.step(2)
		w.Customer, w.Queue, w.Estimate = strconv.Itoa(k), strconv.Itoa(k), time.Second
		i := p.random.IntN(39)
		p.Observe(observation(w, "", time.Second, p.time(u, i, i+1), i, i+1)) // never ends
		is.True(len(p.workers) <= 16 && len(p.Estimator.steps) <= 8 && len(p.kinds) <= 12 && len(p.runs) <= 30 && len(p.estimates) <= 12)
	}
	is.True(p.Forecast(Work{Queue: "499"}).Median > 0)
}

// TestForecast guards against quantiles and probabilities that contradict each other.
func TestForecast(t *testing.T) {
	is := is.New(t)
	f := Forecast{Median: 4 * time.Second, Sigma: 0.5}
	is.True(math.Abs(f.Within(4*time.Second)-0.5) < 1e-9)
	is.True(math.Abs(f.Within(f.Quantile(0.9))-0.9) < 1e-6)
	is.Equal(f.Within(0), 0.0)
	is.True(f.Quantile(1) > f.Quantile(0.99))
}

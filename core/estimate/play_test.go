package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"bramleythread/io/wire"
)

// play is a load whose run times are drawn from the model.
type play struct {
	*Estimator
	random        *rand.Rand
	logs          []float64 // true s by worker
	steps         int
	spread        float64 // of the steps of the queue
	noise         float64 // of the tasks of a step
	estimateError float64 // spread of the callers' estimates
	bias          float64 // of the callers' estimates
}

func newPlay(seed uint64, logs []float64) *play {
	return &play{Estimator: New(Config{}), random: rand.New(rand.NewPCG(seed, 1)), logs: logs, spread: 0.4, noise: 0.2}
}

// twoClasses returns workers of which two thirds have a factor of 0.7 and the others
// one of 1.7.
func twoClasses(n int) []float64 {
	logs := make([]float64, n)
	for i := range logs {
		logs[i] = math.Log(0.7)
		if i%3 == 0 {
			logs[i] = math.Log(1.7)
		}
	}
	return logs
}

func id(worker int) string { return "w" + strconv.Itoa(worker) }

// step returns a new step and its true level.
func (p *play) step(tasks int) (Work, float64) {
	p.steps++
	u := math.Log(4) + p.spread*p.random.NormFloat64()
	w := Work{Step: fmt.Sprintf("job-%d/0", p.steps), Queue: "q", Customer: "c", Image: "i", Tasks: tasks, Demand: wire.Resources{CPU: 1000, Accelerators: 1}}
	if p.estimateError > 0 {
		w.Estimate = seconds(u + p.bias + p.estimateError*p.random.NormFloat64())
	}
	return w, u
}

func seconds(log float64) time.Duration { return time.Duration(math.Exp(log) * float64(time.Second)) }

// time draws the run time of one task, or of a gang, on workers.
func (p *play) time(u float64, workers ...int) time.Duration {
	s := math.Inf(-1)
	for _, i := range workers {
		s = max(s, p.logs[i])
	}
	return seconds(u + s + p.noise*p.random.NormFloat64())
}

func observation(w Work, run string, elapsed, total time.Duration, workers ...int) Observation {
	o := Observation{Work: w, Run: w.Step + run, Elapsed: min(elapsed, total), Finished: elapsed >= total}
	o.Share = math.Floor(100*o.Elapsed.Seconds()/total.Seconds()) / 100
	for _, i := range workers {
		o.Workers = append(o.Workers, id(i))
	}
	return o
}

// run observes a run from its progress each half second, and its end.
func (p *play) run(w Work, total time.Duration, workers ...int) {
	for elapsed := 500 * time.Millisecond; elapsed < total; elapsed += 500 * time.Millisecond {
		p.Observe(observation(w, "", elapsed, total, workers...))
	}
	p.Observe(observation(w, "", total, total, workers...))
}

// errors returns the root mean square of the errors of the factors relative to
// their mean error, and of the errors in standard deviations.
func (p *play) errors() (rms, normalised float64) {
	var mean, n float64
	for i, s := range p.logs {
		mean += (p.Slowness(id(i)).Log - s) / float64(len(p.logs))
	}
	for i, s := range p.logs {
		f := p.Slowness(id(i))
		d := f.Log - s - mean
		rms, normalised, n = rms+d*d, normalised+d*d/f.Sigma/f.Sigma, n+1
	}
	return math.Sqrt(rms / n), math.Sqrt(normalised / n)
}

// classDifference returns by how much the factors of the slow class of twoClasses
// exceed those of the fast class.
func (p *play) classDifference() float64 {
	var sum, n [2]float64
	for i := range p.logs {
		class := 0
		if i%3 == 0 {
			class = 1
		}
		sum[class], n[class] = sum[class]+p.Slowness(id(i)).Log, n[class]+1
	}
	return sum[1]/n[1] - sum[0]/n[0]
}

// wideStep observes the ends of a step of n tasks, each on another worker.
func (p *play) wideStep(n int) {
	w, u := p.step(n)
	for i := range n {
		p.Observe(observation(w, strconv.Itoa(i), time.Hour, p.time(u, i), i))
	}
}

package estimate

import (
	"math"
)

// tally is the weighted distribution of a quantity over steps. Later steps weigh more.
// Each step's sample can be replaced while more becomes known of the step. The sums
// are multiplied by scale, which grows, instead of reducing the weight of all samples.
type tally struct {
	n, sum, squares float64
	scale           float64
	used            uint64
}

// sample is a step's contribution to a tally, in the tally's scale.
type sample struct{ scale, weight, value float64 }

const (
	// stepRetention is the weight that older samples keep with each new step, so
	// that about the 50 newest steps of a kind count.
	stepRetention = 0.98

	maxScale = 1e9

	// influenceLimit bounds the influence of a step on the distributions, in
	// standard deviations: work that takes 7 times as long is beyond it.
	influenceLimit = 2.0
)

func newTally() *tally { return &tally{scale: 1} }

// replace replaces the sample of a step. The zero sample is that of a new step.
func (t *tally) replace(old sample, value, weight float64, d distribution) sample {
	t.n -= old.weight
	t.sum -= old.weight * old.value
	t.squares -= old.weight * old.value * old.value
	if old.scale == 0 {
		if t.scale > maxScale {
			// Samples of earlier steps that are still replaced lose their exact
			// weight, which by now is negligible.
			*t = tally{n: t.n / t.scale, sum: t.sum / t.scale, squares: t.squares / t.scale, scale: 1, used: t.used}
		}
		t.scale /= stepRetention
		old.scale = t.scale
	}
	if old.scale > t.scale {
		old.scale = t.scale
	}
	if distance := math.Abs(value-d.mean) / math.Sqrt(d.spread+d.meanVariance); distance > influenceLimit {
		weight *= influenceLimit / distance
	}
	s := sample{scale: old.scale, weight: weight * old.scale, value: value}
	t.n = max(t.n, 0) + s.weight
	t.sum += s.weight * s.value
	t.squares += s.weight * s.value * s.value
	return s
}

// distribution describes the steps of a kind: their mean with its uncertainty, and
// their spread (a variance) around it.
type distribution struct{ mean, meanVariance, spread float64 }

// predictive returns the distribution of one more step.
func (d distribution) predictive() moments {
	return moments{mean: d.mean, variance: d.meanVariance + d.spread}
}

// spreadWeight is the number of samples that the spread of the coarser kind counts for.
const spreadWeight = 4

// refine returns the distribution of a kind, given that of the coarser kind that it
// belongs to. between is the variance of the means of the kinds.
func (t *tally) refine(coarser distribution, between float64) distribution {
	d := distribution{mean: coarser.mean, meanVariance: coarser.meanVariance + between, spread: coarser.spread}
	if t == nil || t.n <= minVariance*t.scale {
		return d
	}
	n, mean := t.n/t.scale, t.sum/t.n
	squares := max(t.squares/t.scale-n*mean*mean, 0)
	d.spread = (squares + spreadWeight*coarser.spread) / (n + spreadWeight)
	m := normal(d.mean, d.meanVariance).times(normal(mean, d.spread/n)).moments()
	d.mean, d.meanVariance = m.mean, m.variance
	return d
}

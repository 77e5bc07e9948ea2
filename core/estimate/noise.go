package estimate

import (
	"math"
)

const (
	// outlierShare is the share of runs that tell nothing of their step and
	// worker. The users' loads have 3% of the work take 7 times as long.
	outlierShare    = 0.05
	outlierVariance = 1.5 * 1.5
)

// credibility returns the probability that a run with this residual is no outlier.
func credibility(residual, variance float64) float64 {
	in := logDensity(residual, moments{variance: variance}) + math.Log(1-outlierShare)
	out := logDensity(residual, moments{variance: variance + outlierVariance}) + math.Log(outlierShare)
	return 1 / (1 + math.Exp(out-in))
}

// Prior and limits of the variance among the tasks of a step on equal workers.
const (
	noiseVariance    = 0.22 * 0.22
	noiseWeight      = 30 // runs that the prior counts for
	noiseRetention   = 0.998
	minNoiseVariance = 0.1 * 0.1
	maxNoiseVariance = 0.4 * 0.4
)

// noise is the learned variance among the tasks of a step.
type noise struct{ n, squares float64 }

func (n *noise) variance() float64 {
	v := (n.squares + noiseWeight*noiseVariance) / (n.n + noiseWeight)
	return min(max(v, minNoiseVariance), maxNoiseVariance)
}

// record adds the expected square of the run's own noise, given its residual.
func (n *noise) record(res result) {
	share := res.noise / res.variance
	expected := share*share*res.residual*res.residual + res.noise*(1-share)
	n.n = noiseRetention*n.n + res.credibility
	n.squares = noiseRetention*n.squares + res.credibility*expected
}

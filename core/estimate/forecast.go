package estimate

import (
	"math"
	"time"
)

// Forecast is the expected run time of a task: a log-normal distribution.
type Forecast struct {
	Median time.Duration
	Sigma  float64 // standard deviation of the logarithm
}

// Forecast returns the expected run time of one task of the work on a worker, or of a
// gang on several. Without a worker, it is that on a worker of median speed.
func (e *Estimator) Forecast(w Work, workers ...string) Forecast {
	var level moments
	if s := e.steps[w.Step]; s != nil {
		level = s.level().moments()
	} else {
		level = e.stepPrior(&w).moments()
	}
	pace := moments{mean: e.median}
	for i, id := range workers {
		m := e.factor(e.workers[id]).moments()
		if i == 0 {
			pace = m
			continue
		}
		pace = maxOf(pace, m)
	}
	return Forecast{
		Median: toDuration(level.mean + pace.mean),
		Sigma:  math.Sqrt(level.variance + pace.variance + e.noise.variance()),
	}
}

// maxForecast bounds forecasts against an overflow of time.Duration.
const maxForecast = 365 * 24 * time.Hour

func toDuration(logSeconds float64) time.Duration {
	return time.Duration(min(math.Exp(logSeconds)*float64(time.Second), float64(maxForecast)))
}

// Quantile returns the run time that is not exceeded with probability p.
func (f Forecast) Quantile(p float64) time.Duration {
	z := math.Sqrt2 * math.Erfinv(2*min(max(p, 0.0001), 0.9999)-1)
	return toDuration(math.Log(f.Median.Seconds()) + f.Sigma*z)
}

// Within returns the probability that the run time is at most d.
func (f Forecast) Within(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	return cumulative(math.Log(d.Seconds()/f.Median.Seconds()) / f.Sigma)
}

package estimate

import (
	"math"
)

// gaussian is a normal distribution, or a factor of one, in natural parameters, in
// which a product of factors is a sum. The zero value is the factor that tells nothing.
type gaussian struct {
	precision float64 // 1/variance
	weighted  float64 // precision times the mean
}

func normal(mean, variance float64) gaussian {
	return gaussian{precision: 1 / variance, weighted: mean / variance}
}

func (g gaussian) times(o gaussian) gaussian {
	return gaussian{precision: g.precision + o.precision, weighted: g.weighted + o.weighted}
}

func (g gaussian) over(o gaussian) gaussian {
	return gaussian{precision: g.precision - o.precision, weighted: g.weighted - o.weighted}
}

// tempered returns the factor with its precision multiplied by x.
func (g gaussian) tempered(x float64) gaussian {
	return gaussian{precision: g.precision * x, weighted: g.weighted * x}
}

func (g gaussian) moments() moments {
	return moments{mean: g.weighted / g.precision, variance: 1 / g.precision}
}

// moments are the mean and variance of a random variable.
type moments struct{ mean, variance float64 }

// minVariance bounds variances from below, against rounding errors.
const minVariance = 1e-6

func density(x float64) float64    { return math.Exp(-x*x/2) / math.Sqrt(2*math.Pi) }
func cumulative(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// logDensity returns the logarithm of the normal density at x.
func logDensity(x float64, m moments) float64 {
	d := x - m.mean
	return -d*d/(2*m.variance) - math.Log(2*math.Pi*m.variance)/2
}

// maxOf returns the moments of the maximum of two independent normal variables (Clark
// 1961).
func maxOf(a, b moments) moments {
	theta := math.Sqrt(a.variance + b.variance)
	alpha := (a.mean - b.mean) / theta
	p, d := cumulative(alpha), density(alpha)
	mean := a.mean*p + b.mean*(1-p) + theta*d
	square := (a.mean*a.mean+a.variance)*p + (b.mean*b.mean+b.variance)*(1-p) + (a.mean+b.mean)*theta*d
	return moments{mean: mean, variance: max(square-mean*mean, minVariance)}
}

// maxOfOthers returns the maximum of all variables and, for each one, that of all
// others. It takes two passes.
func maxOfOthers(all []moments) (highest moments, others []moments) {
	n := len(all)
	others = make([]moments, n)
	highest = all[0]
	for i := 1; i < n; i++ {
		others[i] = highest
		highest = maxOf(highest, all[i])
	}
	after := all[n-1]
	for i := n - 2; i >= 0; i-- {
		if i == 0 {
			others[i] = after
			break
		}
		others[i] = maxOf(others[i], after)
		after = maxOf(after, all[i])
	}
	return highest, others
}

// minTailArgument bounds the argument of the normal distribution function, which is 0
// in floating point below about -37.
const minTailArgument = -30

// limited returns the moments of a normal variable weighted by the probability that
// it is above (sign 1) or below (sign -1) an independent normal limit, and the
// logarithm of that probability.
func limited(x, limit moments, sign float64) (moments, float64) {
	total := x.variance + limit.variance
	k := max(sign*(x.mean-limit.mean)/math.Sqrt(total), minTailArgument)
	p := cumulative(k)
	ratio := density(k) / p
	return moments{
		mean:     x.mean + sign*x.variance*ratio/math.Sqrt(total),
		variance: max(x.variance-x.variance*x.variance*ratio*(k+ratio)/total, minVariance),
	}, math.Log(p)
}

// givenMax returns the moments of x after max(x, other) has been observed. The
// observation is a normal variable too. The result is a mixture of the case that x is
// the larger one, in which x is observed, and that it is not, in which only an upper
// limit of x is.
func givenMax(x, other, observed moments) moments {
	larger := normal(x.mean, x.variance).times(normal(observed.mean, observed.variance)).moments()
	a, logA := limited(larger, other, 1)
	logA += logDensity(observed.mean, moments{x.mean, x.variance + observed.variance})
	limit := normal(other.mean, other.variance).times(normal(observed.mean, observed.variance)).moments()
	b, logB := limited(x, limit, -1)
	logB += logDensity(observed.mean, moments{other.mean, other.variance + observed.variance})
	p := 1 / (1 + math.Exp(logB-logA))
	mean := p*a.mean + (1-p)*b.mean
	d := a.mean - b.mean
	return moments{mean: mean, variance: p*a.variance + (1-p)*b.variance + p*(1-p)*d*d}
}

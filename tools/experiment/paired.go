package main

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"bramleythread/core/emulate"
)

// pairedRows are the measures whose differences are printed.
var pairedRows = []struct {
	name  string
	value func(o *emulate.Outcome) float64
}{
	{"value earned, share", (*emulate.Outcome).EarnedShare},
	{"customers without a surge, share", func(o *emulate.Outcome) float64 { return o.UndisturbedShare }},
	{"urgent jobs late, share", func(o *emulate.Outcome) float64 { return o.UrgentLateShare }},
	{"mean completion, s", func(o *emulate.Outcome) float64 { return o.MeanCompletion.Seconds() }},
	{"wasted core-seconds", func(o *emulate.Outcome) float64 { return o.WastedCoreSeconds }},
}

// printDifferences prints the mean of the differences of each policy from the first
// one, seed by seed, with its standard error. The policies meet the same requests, so
// that the differences vary less than the measures.
func printDifferences(out io.Writer, results []result) error {
	if len(results) < 2 || len(results[0].outcomes) < 2 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	cells := []string{"\ndifference from " + results[0].name}
	for _, r := range results[1:] {
		cells = append(cells, r.name)
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")+"\t") // Flush returns write errors
	for _, row := range pairedRows {
		cells = []string{row.name}
		for _, r := range results[1:] {
			mean, deviation := pairedDifference(results[0].outcomes, r.outcomes, row.value)
			cells = append(cells, fmt.Sprintf("%+.4f +- %.4f", mean, deviation))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")+"\t")
	}
	return w.Flush()
}

// pairedDifference returns the mean of the differences of value between the outcomes
// of the same seed, and its standard error.
func pairedDifference(base, other []*emulate.Outcome, value func(o *emulate.Outcome) float64) (mean, standardError float64) {
	n := float64(len(base))
	var sum, squares float64
	for i := range base {
		d := value(other[i]) - value(base[i])
		sum += d
		squares += d * d
	}
	mean = sum / n
	return mean, math.Sqrt(max(squares/n-mean*mean, 0) / (n - 1))
}

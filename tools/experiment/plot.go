package main

import (
	"os"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
)

// Size of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 420
)

// drawCurves plots the cumulative value earned by each policy over time, as the
// mean over the seeds.
func drawCurves(path, title string, results []result) error {
	graph := chart.Chart{
		Title: title, Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "value earned"},
	}
	for _, r := range results {
		line := chart.ContinuousSeries{Name: r.name}
		total := 0.0
		for second := range r.outcomes[0].EarnedPerSecond {
			for _, o := range r.outcomes {
				total += o.EarnedPerSecond[second] / float64(len(r.outcomes))
			}
			line.XValues, line.YValues = append(line.XValues, float64(second)), append(line.YValues, total)
		}
		graph.Series = append(graph.Series, line)
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	if err := graph.Render(chart.SVG, f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "plot")
	}
	return f.Close()
}

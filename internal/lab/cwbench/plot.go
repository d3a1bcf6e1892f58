package cwbench

import (
	"image/color"
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot draws the latency tails of the results of a scenario to a file: latency in
// milliseconds over the share of requests that took longer. The extension of the
// file name, such as .svg or .png, selects the format.
func Plot(file, scenario string, results []*Result) error {
	p := plot.New()
	p.Title.Text = scenario
	p.X.Label.Text = "share of requests that took longer"
	p.X.Scale, p.X.Tick.Marker = plot.InvertedScale{Normalizer: plot.LogScale{}}, plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "ms from the intended start"
	p.Legend.Top, p.Legend.Left = true, true

	return draw(p, file, scenario, results, tail)
}

// PlotSeries draws the complete replies a second over the time of the run.
func PlotSeries(file, scenario string, results []*Result) error {
	p := plot.New()
	p.Title.Text = scenario
	p.X.Label.Text = "s"
	p.Y.Label.Text = "whole replies a second"
	p.Legend.Top = true

	return draw(p, file, scenario, results, goodput)
}

func draw(p *plot.Plot, file, scenario string, results []*Result, points func(*Result) plotter.XYs) error {
	count := 0

	for _, r := range results {
		if r.Scenario != scenario {
			continue
		}

		line, err := plotter.NewLine(points(r))
		if err != nil {
			return errors.Annotate(err, "bench: plot")
		}

		line.Color = colour(count)
		line.Dashes = plotutil.Dashes(count)
		count++

		p.Add(line)
		p.Legend.Add(r.Variant, line)
	}

	return errors.Annotate(p.Save(plotWidth, plotHeight, file), "bench: plot")
}

func colour(i int) color.Color { return plotutil.Color(i) }

// tail returns the latencies from the fastest request to the slowest one in ten
// thousand.
func tail(r *Result) plotter.XYs {
	const (
		perDecade = 20
		decades   = 4
	)

	var points plotter.XYs

	for i := range perDecade*decades + 1 {
		share := math.Pow(10, -float64(i)/perDecade)
		at := r.Quick.histogram.ValueAtQuantile(100 * (1 - share))
		points = append(points, plotter.XY{X: share, Y: millis(at)})
	}

	return points
}

func goodput(r *Result) plotter.XYs {
	var points plotter.XYs

	for i, s := range r.Series {
		points = append(points, plotter.XY{
			X: float64(i) * SeriesStep.Seconds(),
			Y: float64(s.Answered) / SeriesStep.Seconds(),
		})
	}

	return points
}

// PlotReplay draws the outcomes of the requests of a pattern over their arrival
// times.
func PlotReplay(file string, r *ReplayResult) error {
	p := plot.New()
	p.Title.Text = r.Pattern + ", " + r.Way
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true

	for i, l := range []struct {
		name  string
		count func(*ReplayStep) int
	}{
		{"in time", func(s *ReplayStep) int { return s.InTime }},
		{"late", func(s *ReplayStep) int { return s.Late }},
		{"refused", func(s *ReplayStep) int { return s.Refused }},
	} {
		var points plotter.XYs

		for j := range r.Series {
			points = append(points, plotter.XY{
				X: float64(j) * replayStepLength.Seconds(), Y: float64(l.count(&r.Series[j])) / replayStepLength.Seconds(),
			})
		}

		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Annotate(err, "bench: plot")
		}

		line.Color = colour(i)
		line.Dashes = plotutil.Dashes(i)

		p.Add(line)
		p.Legend.Add(l.name, line)
	}

	return errors.Annotate(p.Save(plotWidth, plotHeight, file), "bench: plot")
}

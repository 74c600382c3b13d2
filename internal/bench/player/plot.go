package player

import (
	"fmt"
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	// Registers the SVG backend for files that end in .svg.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the results of the requests in each second to an SVG file.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Requests by second, seed %d", r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "second of the day", "requests"
	p.Add(plotter.NewGrid())
	for _, series := range []struct {
		name  string
		color color.Color
		value func(Tally) int
	}{
		{"in the target", color.RGBA{G: 130, A: 255}, func(t Tally) int { return t.InTarget }},
		{"late", color.RGBA{R: 230, G: 160, A: 255}, func(t Tally) int { return t.Late }},
		{"refused", color.RGBA{B: 200, A: 255}, func(t Tally) int { return t.Refused }},
		{"failed", color.RGBA{R: 200, A: 255}, func(t Tally) int { return t.Failed }},
	} {
		points := make(plotter.XYs, len(r.Seconds))
		for i, t := range r.Seconds {
			points[i] = plotter.XY{X: float64(i), Y: float64(series.value(t))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plotting series %q", series.name)
		}
		line.Color = series.color
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	p.Legend.Top = true
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "writing plot %s", file)
}

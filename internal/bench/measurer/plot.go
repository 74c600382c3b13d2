package measurer

import (
	"fmt"
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	// Registers the SVG backend for the file extension.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes an SVG file with the points of a fit and its line. The arguments
// size and cost are the labels of the axes.
func Plot(file, title, size, cost string, fit Fit) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, size, cost
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(fit.Points))
	maxSize := 0.0
	for i, point := range fit.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Cost}
		maxSize = max(maxSize, point.Size)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "points")
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: fit.At(0)}, {X: maxSize, Y: fit.At(maxSize)}})
	if err != nil {
		return errors.Wrap(err, "line")
	}
	line.Color = color.Gray{Y: 128}
	p.Add(plotter.NewGrid(), line, scatter)
	p.Legend.Add(fmt.Sprintf("slope %.4g", fit.Slope), line)
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "writing plot %s", file)
}

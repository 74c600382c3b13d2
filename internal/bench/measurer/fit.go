package measurer

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a cost measured at a size.
type Point struct {
	Size, Cost float64
}

// Fit is a weighted linear regression of a cost against a size.
type Fit struct {
	Name          string
	Unit          string // Of the slope, such as "bytes per workspace".
	Points        []Point
	Slope         float64
	Intercept     float64
	StandardError float64 // Standard error of the slope.
}

// NewFit fits a line by least squares. The points are weighted by 1/size,
// because measurement errors grow with the size. Sizes must be above 0.
func NewFit(name, unit string, points []Point) Fit {
	var sizes, costs, weights []float64
	for _, p := range points {
		sizes, costs, weights = append(sizes, p.Size), append(costs, p.Cost), append(weights, 1/p.Size)
	}
	f := Fit{Name: name, Unit: unit, Points: points}
	f.Intercept, f.Slope = stat.LinearRegression(sizes, costs, weights, false)
	mean := stat.Mean(sizes, weights)
	var squaredResiduals, sizeVariation float64
	for i := range sizes {
		residual := costs[i] - f.Intercept - f.Slope*sizes[i]
		squaredResiduals += weights[i] * residual * residual
		sizeVariation += weights[i] * (sizes[i] - mean) * (sizes[i] - mean)
	}
	if n := float64(len(points) - 2); n > 0 && sizeVariation > 0 {
		f.StandardError = math.Sqrt(squaredResiduals / n / sizeVariation)
	}
	return f
}

// At returns the predicted cost for a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// String returns a row of a Markdown table.
func (f Fit) String() string {
	sizes := ""
	for i, p := range f.Points {
		if i > 0 {
			sizes += ", "
		}
		sizes += fmt.Sprintf("%g: %.4g", p.Size, p.Cost)
	}
	return fmt.Sprintf("| %s | %.4g | ± %.2g | %.4g | %s | %s |", f.Name, f.Slope, f.StandardError, f.Intercept, f.Unit, sizes)
}

// FitHeader is the header of the Markdown table whose rows are fits.
const FitHeader = "| cost | slope | error | at 0 | unit | measured at |\n|---|---|---|---|---|---|"

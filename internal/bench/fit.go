// Package bench measures daemons in two ways. The capacity bench fits processor time, memory and
// bytes of single parts and of a running daemon against the size that they grow with. The routing
// bench runs daemons in front of simulated upstreams under open-loop load and compares the routing
// policies side by side.
package bench

import (
	"fmt"
	"io"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of a cost at a size.
type Point struct {
	Size float64 // the independent variable, such as the number of upstreams
	Cost float64 // in the unit of LinearFit.CostName
}

// LinearFit is a straight line fitted to measurements by least squares.
type LinearFit struct {
	CostName    string  // measured quantity, with its unit
	SizeName    string  // independent variable
	Intercept   float64 // cost at size 0
	Slope       float64 // added cost for each unit of size
	RSquared    float64 // coefficient of determination; 1 if all points are on the line
	MaxResidual float64 // largest distance of a cost from the line, as a fraction of the largest cost
	Points      []Point
}

// FitLine fits a straight line to points, of which there must be at least two.
func FitLine(costName, sizeName string, points []Point) LinearFit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	maxCost := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Cost
		maxCost = max(maxCost, math.Abs(p.Cost))
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	f := LinearFit{CostName: costName, SizeName: sizeName, Intercept: intercept, Slope: slope, Points: points}
	f.RSquared = stat.RSquared(xs, ys, nil, intercept, slope)
	for i := range xs {
		if maxCost > 0 {
			f.MaxResidual = max(f.MaxResidual, math.Abs(ys[i]-intercept-slope*xs[i])/maxCost)
		}
	}
	return f
}

// Print writes the fit as one line of key=value pairs.
func (f LinearFit) Print(w io.Writer) {
	sizes, costs := make([]string, len(f.Points)), make([]string, len(f.Points))
	for i, p := range f.Points {
		sizes[i], costs[i] = fmt.Sprintf("%g", p.Size), fmt.Sprintf("%.4g", p.Cost)
	}
	fmt.Fprintf(w, "slope=%s against=%s each=%.4g base=%.4g fit=%.3f residual=%.0f%% sizes=%s costs=%s\n",
		f.CostName, f.SizeName, f.Slope, f.Intercept, f.RSquared, 100*f.MaxResidual, strings.Join(sizes, ","), strings.Join(costs, ","))
}

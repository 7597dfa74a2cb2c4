// Package bench measures what daemons cost: slopes of processor time, memory
// and bytes against the size that they grow with.
package bench

import (
	"fmt"
	"io"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	Size float64 // what is varied
	Cost float64 // what is measured
}

// LinearFit is a straight line through measurements.
type LinearFit struct {
	CostName    string // what grows, with its unit
	SizeName    string // the size that is varied
	Intercept   float64
	Slope       float64 // cost for one more
	RSquared    float64 // coefficient of determination; 1 is a straight line
	MaxResidual float64 // largest distance of a point from the line, as a share of the largest cost
	Points      []Point
}

// FitLine fits a straight line to at least two points.
func FitLine(name, against string, points []Point) LinearFit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Cost
		largest = max(largest, math.Abs(p.Cost))
	}
	base, each := stat.LinearRegression(xs, ys, nil, false)
	s := LinearFit{CostName: name, SizeName: against, Intercept: base, Slope: each, Points: points}
	s.RSquared = stat.RSquared(xs, ys, nil, base, each)
	for i := range xs {
		if largest > 0 {
			s.MaxResidual = max(s.MaxResidual, math.Abs(ys[i]-base-each*xs[i])/largest)
		}
	}
	return s
}

// Print writes the slope as one line of key=value pairs.
func (s LinearFit) Print(w io.Writer) {
	sizes, costs := make([]string, len(s.Points)), make([]string, len(s.Points))
	for i, p := range s.Points {
		sizes[i], costs[i] = fmt.Sprintf("%g", p.Size), fmt.Sprintf("%.4g", p.Cost)
	}
	fmt.Fprintf(w, "slope=%s against=%s each=%.4g base=%.4g fit=%.3f residual=%.0f%% sizes=%s costs=%s\n",
		s.CostName, s.SizeName, s.Slope, s.Intercept, s.RSquared, 100*s.MaxResidual, strings.Join(sizes, ","), strings.Join(costs, ","))
}

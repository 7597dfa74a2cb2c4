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

// Slope is a straight line through measurements.
type Slope struct {
	Name     string // what grows, with its unit
	Against  string // the size that is varied
	Base     float64
	Each     float64 // cost for one more
	Fit      float64 // coefficient of determination; 1 is a straight line
	Residual float64 // largest distance of a point from the line, as a share of the largest cost
	Points   []Point
}

// Line fits a straight line to at least two points.
func Line(name, against string, points []Point) Slope {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Cost
		largest = max(largest, math.Abs(p.Cost))
	}
	base, each := stat.LinearRegression(xs, ys, nil, false)
	s := Slope{Name: name, Against: against, Base: base, Each: each, Points: points}
	s.Fit = stat.RSquared(xs, ys, nil, base, each)
	for i := range xs {
		if largest > 0 {
			s.Residual = max(s.Residual, math.Abs(ys[i]-base-each*xs[i])/largest)
		}
	}
	return s
}

// Print writes the slope as one line of key=value pairs.
func (s Slope) Print(w io.Writer) {
	sizes, costs := make([]string, len(s.Points)), make([]string, len(s.Points))
	for i, p := range s.Points {
		sizes[i], costs[i] = fmt.Sprintf("%g", p.Size), fmt.Sprintf("%.4g", p.Cost)
	}
	fmt.Fprintf(w, "slope=%s against=%s each=%.4g base=%.4g fit=%.3f residual=%.0f%% sizes=%s costs=%s\n",
		s.Name, s.Against, s.Each, s.Base, s.Fit, 100*s.Residual, strings.Join(sizes, ","), strings.Join(costs, ","))
}

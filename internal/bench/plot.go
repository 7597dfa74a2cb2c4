package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 8 * vg.Length(1)
)

// plotMetric is one value of a row that is plotted.
type plotMetric struct {
	fileLabel, title string
	value            func(r *Row) float64
}

var plotMetrics = []plotMetric{
	{"first-p95", "first token p95, ms", func(r *Row) float64 { return r.FirstP95 }},
	{"on-time", "share answered on time", func(r *Row) float64 { return r.OnTime }},
	{"recomputed", "recomputed tokens for a request", func(r *Row) float64 { return float64(r.RecomputedTokens) / float64(max(r.Requests, 1)) }},
}

// Plot writes one bar chart for each mix and measure to dir.
func Plot(rows []Row, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory of plots")
	}
	for i := range Mixes {
		for _, me := range plotMetrics {
			path := filepath.Join(dir, fmt.Sprintf("routing-%s-%s.svg", Mixes[i].Name, me.fileLabel))
			if err := writePlot(rows, Mixes[i].Name, me, path); err != nil {
				return errors.Wrapf(err, "plot %s", path)
			}
		}
	}
	return nil
}

func writePlot(rows []Row, mix string, me plotMetric, path string) error {
	p := plot.New()
	p.Title.Text = mix + ": " + me.title
	p.Legend.Top = true
	var names []string
	for _, s := range Scenarios {
		names = append(names, s.Name)
	}
	for i, v := range PolicyVariants() {
		values := make(plotter.Values, len(names))
		for k, name := range names {
			if r := findRow(rows, mix, name, v.Name); r != nil {
				values[k] = me.value(r)
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-1.5)
		p.Add(bars)
		p.Legend.Add(v.Name, bars)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, path)
}

func findRow(rows []Row, mix, scenario, variant string) *Row {
	for i := range rows {
		r := &rows[i]
		if r.Mix == mix && r.Scenario == scenario && r.Variant == variant {
			return r
		}
	}
	return nil
}

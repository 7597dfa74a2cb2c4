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

// plotMetric is a quantity of a Row that has charts of its own.
type plotMetric struct {
	fileLabel, title string // part of the file name; title of the charts
	value            func(r *Row) float64
}

var plotMetrics = []plotMetric{
	{"first-p95", "first token p95, ms", func(r *Row) float64 { return r.FirstP95 }},
	{"on-time", "share answered on time", func(r *Row) float64 { return r.OnTime }},
	{"recomputed", "recomputed tokens for a request", func(r *Row) float64 { return float64(r.RecomputedTokens) / float64(max(r.Requests, 1)) }},
}

// Plot writes one bar chart (SVG) for each mix and metric to dir, with a bar for each scenario and policy.
func Plot(rows []Row, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create plot directory")
	}
	for i := range Mixes {
		for _, metric := range plotMetrics {
			path := filepath.Join(dir, fmt.Sprintf("routing-%s-%s.svg", Mixes[i].Name, metric.fileLabel))
			if err := writePlot(rows, Mixes[i].Name, metric, path); err != nil {
				return errors.Wrapf(err, "write plot %s", path)
			}
		}
	}
	return nil
}

func writePlot(rows []Row, mix string, metric plotMetric, path string) error {
	p := plot.New()
	p.Title.Text = mix + ": " + metric.title
	p.Legend.Top = true
	var names []string
	for _, s := range Scenarios {
		names = append(names, s.Name)
	}
	for i, v := range PolicyVariants() {
		values := make(plotter.Values, len(names))
		for k, name := range names {
			if r := findRow(rows, mix, name, v.Name); r != nil {
				values[k] = metric.value(r)
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

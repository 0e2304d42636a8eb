package experimenter

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 24
)

// bar is one labelled bar of a chart.
type bar struct {
	label string
	value float64
}

// plotBars writes a bar chart to NAME.svg in the folder for plots. It does
// nothing if no folder is configured.
func plotBars(cfg Config, name, title, unit string, bars []bar) error {
	if cfg.Plots == "" {
		return nil
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	values := make(plotter.Values, 0, len(bars))
	labels := make([]string, 0, len(bars))
	for _, b := range bars {
		values = append(values, b.value)
		labels = append(labels, b.label)
	}
	chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	p.Add(chart)
	p.NominalX(labels...)
	return p.Save(plotWidth, plotHeight, filepath.Join(cfg.Plots, name+".svg"))
}

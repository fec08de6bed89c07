package report

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const barWidth = 24

// bars adds stacked bars: bytes within a region and, on top, between regions.
func (c *chart) bars(names []string, near, far plotter.Values) error {
	low, err := plotter.NewBarChart(near, vg.Points(barWidth))
	if err != nil {
		return eris.Wrap(ErrChart, err.Error())
	}
	high, err := plotter.NewBarChart(far, vg.Points(barWidth))
	if err != nil {
		return eris.Wrap(ErrChart, err.Error())
	}
	low.Color, high.Color = c.next(), c.next()
	high.StackOn(low)
	c.plot.Add(low, high)
	c.plot.Legend.Add("within a region", low)
	c.plot.Legend.Add("between regions", high)
	c.plot.NominalX(names...)
	return nil
}

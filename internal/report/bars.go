package report

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const barWidth = 24

// stackedBars adds a stacked bar for each name: bytes within a region and, on top,
// bytes between regions.
func (c *chart) stackedBars(names []string, sameRegion, crossRegion plotter.Values) error {
	sameBars, err := plotter.NewBarChart(sameRegion, vg.Points(barWidth))
	if err != nil {
		return eris.Wrap(ErrChart, err.Error())
	}
	crossBars, err := plotter.NewBarChart(crossRegion, vg.Points(barWidth))
	if err != nil {
		return eris.Wrap(ErrChart, err.Error())
	}
	sameBars.Color, crossBars.Color = c.nextColor(), c.nextColor()
	crossBars.StackOn(sameBars)
	c.plot.Add(sameBars, crossBars)
	c.plot.Legend.Add("within a region", sameBars)
	c.plot.Legend.Add("between regions", crossBars)
	c.plot.NominalX(names...)
	return nil
}

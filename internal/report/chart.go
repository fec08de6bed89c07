package report

import (
	"bytes"
	"html/template"
	"image/color"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// ErrChart means that a chart could not be drawn.
var ErrChart = eris.New("chart")

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 3.2 * vg.Inch
	lineWidth   = 1.2
	dotRadius   = 1.4
	millisecond = float64(time.Millisecond)
)

// chart is one plot of a report.
type chart struct {
	plot   *plot.Plot
	series int
}

func newChart(title, x, y string) *chart {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return &chart{plot: p}
}

// nextColor returns the colour of the next series.
func (c *chart) nextColor() color.Color {
	c.series++
	return plotutil.Color(c.series - 1)
}

// line adds a series as a line.
func (c *chart) line(name string, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return eris.Wrap(ErrChart, err.Error())
	}
	l.Color, l.Width = c.nextColor(), vg.Points(lineWidth)
	c.plot.Add(l)
	c.plot.Legend.Add(name, l)
	return nil
}

// dots adds a series as dots.
func (c *chart) dots(name string, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(xys)
	if err != nil {
		return eris.Wrap(ErrChart, err.Error())
	}
	s.GlyphStyle = draw.GlyphStyle{Color: c.nextColor(), Radius: vg.Points(dotRadius), Shape: draw.CircleGlyph{}}
	c.plot.Add(s)
	c.plot.Legend.Add(name, s)
	return nil
}

// svg returns the chart as an SVG element.
func (c *chart) svg() (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	c.plot.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", eris.Wrap(ErrChart, err.Error())
	}
	out := b.Bytes()
	if i := bytes.Index(out, []byte("<svg")); i > 0 {
		out = out[i:]
	}
	// The SVG comes from the plotting library, which escapes text.
	return template.HTML(out), nil
}

package report

import (
	"html/template"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"coltsfootmux/internal/model"
)

// draws lists the charts of a report in their order.
func draws() []func(*Recording) (*chart, error) {
	return []func(*Recording) (*chart, error){
		completionChart, cumulativeChart, roomChart, guaranteeChart, trafficChart,
	}
}

func charts(r *Recording) ([]template.HTML, error) {
	var out []template.HTML
	for _, draw := range draws() {
		c, err := draw(r)
		if err != nil {
			return nil, err
		}
		svg, err := c.svg()
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

// completionChart shows each whole answer's time over the run.
func completionChart(r *Recording) (*chart, error) {
	c := newChart("Time to the whole answer", "seconds into the run", "milliseconds")
	c.plot.Y.Scale, c.plot.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for _, k := range r.Kinds {
		var xys plotter.XYs
		for _, a := range done(r, k.Kind) {
			xys = append(xys, plotter.XY{X: a.At.Seconds(), Y: max(1, float64(a.Latency)/millisecond)})
		}
		if err := c.dots(string(k.Kind), xys); err != nil {
			return nil, err
		}
	}
	c.plot.Y.Min = 1
	c.plot.Y.Max = max(c.plot.Y.Max, 10)
	return c, nil
}

// cumulativeChart shows which share of each kind was answered within which time.
func cumulativeChart(r *Recording) (*chart, error) {
	c := newChart("Share answered within a time", "milliseconds", "share")
	c.plot.X.Scale, c.plot.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for _, k := range r.Kinds {
		as := done(r, k.Kind)
		var xys plotter.XYs
		for i, a := range as {
			xys = append(xys, plotter.XY{X: max(1, float64(a.Latency)/millisecond), Y: float64(i+1) / float64(len(as))})
		}
		if err := c.line(string(k.Kind), xys); err != nil {
			return nil, err
		}
	}
	c.plot.X.Min = 1
	c.plot.X.Max = max(c.plot.X.Max, 10)
	return c, nil
}

// done gives the whole answers of a kind, the quickest first.
func done(r *Recording, k model.Kind) []Answer {
	var out []Answer
	for _, a := range r.Answers {
		if a.Kind == k && a.Outcome == model.OutcomeDone {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return int(a.Latency - b.Latency) })
	return out
}

// roomChart shows use and fragmentation of the accelerators over the run.
func roomChart(r *Recording) (*chart, error) {
	c := newChart("Accelerators", "seconds into the run", "share")
	var used, broken plotter.XYs
	for _, s := range r.Samples {
		used = append(used, plotter.XY{X: s.At.Seconds(), Y: s.Used})
		broken = append(broken, plotter.XY{X: s.At.Seconds(), Y: s.Fragmentation})
	}
	if err := c.line("in use", used); err != nil {
		return nil, err
	}
	err := c.line("free and fragmented", broken)
	c.plot.Y.Min, c.plot.Y.Max = 0, 1
	return c, err
}

// guaranteeChart shows what accounts use of their guarantees and what is lent.
func guaranteeChart(r *Recording) (*chart, error) {
	c := newChart("Guaranteed room in use and lent", "seconds into the run", "accelerators")
	for _, id := range guaranteed(r) {
		var used, lent plotter.XYs
		for _, s := range r.Samples {
			for _, a := range s.Accounts {
				if a.ID == id {
					used = append(used, plotter.XY{X: s.At.Seconds(), Y: float64(a.Used)})
					lent = append(lent, plotter.XY{X: s.At.Seconds(), Y: float64(a.Lent)})
				}
			}
		}
		if err := c.line(string(id)+" uses", used); err != nil {
			return nil, err
		}
		if err := c.line(string(id)+" lends", lent); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func guaranteed(r *Recording) []model.Account {
	var out []model.Account
	for _, s := range r.Samples {
		for _, a := range s.Accounts {
			if a.Guaranteed > 0 && !slices.Contains(out, a.ID) {
				out = append(out, a.ID)
			}
		}
	}
	slices.Sort(out)
	return out
}

// trafficChart shows the bytes between own processes by kind of call.
func trafficChart(r *Recording) (*chart, error) {
	c := newChart("Bytes between own processes", "", "kB")
	var near, far plotter.Values
	var names []string
	for _, t := range r.Traffic {
		near = append(near, float64(t.Bytes-t.CrossRegion)/1000)
		far = append(far, float64(t.CrossRegion)/1000)
		names = append(names, t.Kind)
	}
	if len(names) == 0 {
		return c, nil
	}
	return c, c.bars(names, near, far)
}

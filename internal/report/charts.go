package report

import (
	"html/template"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"coltsfootmux/internal/model"
)

// chartFuncs returns the functions that make the charts of a report, in their order.
func chartFuncs() []func(*Recording) (*chart, error) {
	return []func(*Recording) (*chart, error){
		latencyChart, latencyDistributionChart, acceleratorChart, guaranteeChart, trafficChart,
	}
}

func charts(r *Recording) ([]template.HTML, error) {
	var out []template.HTML
	for _, draw := range chartFuncs() {
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

// latencyChart shows the latency of each done request over the course of the run.
func latencyChart(r *Recording) (*chart, error) {
	c := newChart("Latency of requests that are done", "seconds into the run", "milliseconds")
	c.plot.Y.Scale, c.plot.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for _, k := range r.Kinds {
		var xys plotter.XYs
		for _, a := range doneByLatency(r, k.Kind) {
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

// latencyDistributionChart shows the cumulative distribution of the latency for each
// kind.
func latencyDistributionChart(r *Recording) (*chart, error) {
	c := newChart("Cumulative distribution of the latency", "milliseconds", "share")
	c.plot.X.Scale, c.plot.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for _, k := range r.Kinds {
		as := doneByLatency(r, k.Kind)
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

// doneByLatency returns the answers of a kind with outcome done, sorted by latency.
func doneByLatency(r *Recording, k model.Kind) []Answer {
	var out []Answer
	for _, a := range r.Answers {
		if a.Kind == k && a.Outcome == model.OutcomeDone {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Answer) int { return int(a.Latency - b.Latency) })
	return out
}

// acceleratorChart shows the use and fragmentation of the accelerators over the
// course of the run.
func acceleratorChart(r *Recording) (*chart, error) {
	c := newChart("Accelerators", "seconds into the run", "share")
	var used, fragmented plotter.XYs
	for _, s := range r.Samples {
		used = append(used, plotter.XY{X: s.At.Seconds(), Y: s.Used})
		fragmented = append(fragmented, plotter.XY{X: s.At.Seconds(), Y: s.Fragmentation})
	}
	if err := c.line("in use", used); err != nil {
		return nil, err
	}
	err := c.line("free and fragmented", fragmented)
	c.plot.Y.Min, c.plot.Y.Max = 0, 1
	return c, err
}

// guaranteeChart shows how many of its guaranteed accelerators each account uses and
// lends to others.
func guaranteeChart(r *Recording) (*chart, error) {
	c := newChart("Guaranteed accelerators in use and lent", "seconds into the run", "accelerators")
	for _, id := range guaranteedAccounts(r) {
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

// guaranteedAccounts returns the sorted accounts that have a guarantee in any
// sample.
func guaranteedAccounts(r *Recording) []model.Account {
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

// trafficChart shows the bytes sent between the system's processes by kind of call.
func trafficChart(r *Recording) (*chart, error) {
	c := newChart("Bytes between the system's processes", "", "kB")
	var sameRegion, crossRegion plotter.Values
	var names []string
	for _, t := range r.Traffic {
		sameRegion = append(sameRegion, float64(t.Bytes-t.CrossRegion)/1000)
		crossRegion = append(crossRegion, float64(t.CrossRegion)/1000)
		names = append(names, t.Kind)
	}
	if len(names) == 0 {
		return c, nil
	}
	return c, c.stackedBars(names, sameRegion, crossRegion)
}

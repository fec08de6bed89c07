// Package metric declares the programs' metrics. Each package declares its own
// once; docs/METRICS.md lists them all, and a test holds the two together.
package metric

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Desc describes one metric.
type Desc struct {
	Name  string
	Type  string
	Unit  string
	Label string
	Help  string
}

var (
	mu  sync.Mutex
	all []Desc
)

func declare(d Desc) {
	mu.Lock()
	defer mu.Unlock()
	all = append(all, d)
}

// All gives every declared metric in the order of its name.
func All() []Desc {
	mu.Lock()
	defer mu.Unlock()
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b Desc) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Write writes the process's metrics in Prometheus text format.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }

// NewCounter declares a counter without labels.
func NewCounter(name, unit, help string) *metrics.Counter {
	declare(Desc{Name: name, Type: "counter", Unit: unit, Help: help})
	return metrics.GetOrCreateCounter(name)
}

// NewGauge declares a gauge that is read from f; f must be safe to call at any time.
func NewGauge(name, unit, help string, f func() float64) *metrics.Gauge {
	declare(Desc{Name: name, Type: "gauge", Unit: unit, Help: help})
	return metrics.GetOrCreateGauge(name, f)
}

// NewHistogram declares a histogram without labels.
func NewHistogram(name, unit, help string) *metrics.Histogram {
	declare(Desc{Name: name, Type: "histogram", Unit: unit, Help: help})
	return metrics.GetOrCreateHistogram(name)
}

// CounterVec is a counter with one label from a bounded set.
type CounterVec struct{ name, label string }

// NewCounterVec declares a counter with one label. Callers must keep the set of
// its values small.
func NewCounterVec(name, unit, label, help string) CounterVec {
	declare(Desc{Name: name, Type: "counter", Unit: unit, Label: label, Help: help})
	return CounterVec{name: name, label: label}
}

// With gives the counter of one label value.
func (v CounterVec) With(value string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", v.name, v.label, value))
}

// HistogramVec is a histogram with one label from a bounded set.
type HistogramVec struct{ name, label string }

// NewHistogramVec declares a histogram with one label.
func NewHistogramVec(name, unit, label, help string) HistogramVec {
	declare(Desc{Name: name, Type: "histogram", Unit: unit, Label: label, Help: help})
	return HistogramVec{name: name, label: label}
}

// With gives the histogram of one label value.
func (v HistogramVec) With(value string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("%s{%s=%q}", v.name, v.label, value))
}

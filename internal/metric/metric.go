// Package metric declares the programs' metrics. Each package declares its own
// metrics once; docs/METRICS.md lists them all, and a test checks that the page
// agrees with the declarations.
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
	mu       sync.Mutex
	declared []Desc
)

func declare(d Desc) {
	mu.Lock()
	defer mu.Unlock()
	declared = append(declared, d)
}

// All returns every declared metric, sorted by name.
func All() []Desc {
	mu.Lock()
	defer mu.Unlock()
	out := slices.Clone(declared)
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

// NewGauge declares a gauge whose value is returned by f. f may be called at any
// time, from any goroutine.
func NewGauge(name, unit, help string, f func() float64) *metrics.Gauge {
	declare(Desc{Name: name, Type: "gauge", Unit: unit, Help: help})
	return metrics.GetOrCreateGauge(name, f)
}

// NewHistogram declares a histogram without labels.
func NewHistogram(name, unit, help string) *metrics.Histogram {
	declare(Desc{Name: name, Type: "histogram", Unit: unit, Help: help})
	return metrics.GetOrCreateHistogram(name)
}

// CounterVec is a counter with one label.
type CounterVec struct{ name, label string }

// NewCounterVec declares a counter with one label. Callers must keep the set of
// label values small.
func NewCounterVec(name, unit, label, help string) CounterVec {
	declare(Desc{Name: name, Type: "counter", Unit: unit, Label: label, Help: help})
	return CounterVec{name: name, label: label}
}

// With returns the counter for a label value.
func (v CounterVec) With(value string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", v.name, v.label, value))
}

// HistogramVec is a histogram with one label.
type HistogramVec struct{ name, label string }

// NewHistogramVec declares a histogram with one label. Callers must keep the set of
// label values small.
func NewHistogramVec(name, unit, label, help string) HistogramVec {
	declare(Desc{Name: name, Type: "histogram", Unit: unit, Label: label, Help: help})
	return HistogramVec{name: name, label: label}
}

// With returns the histogram for a label value.
func (v HistogramVec) With(value string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf("%s{%s=%q}", v.name, v.label, value))
}

package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
)

// Result is what came of one trace under one policy.
type Result struct {
	Trace  string
	Seed   uint64
	Policy string
	All    Figures
	// Groups are the figures by group of work, by name.
	Groups []Figures
	// ReclaimP99 and ReclaimMax are the times from asking for room held by
	// borrowers to having it, over Reclaims cases.
	Reclaims   int
	ReclaimP99 time.Duration
	ReclaimMax time.Duration
	// UrgentP99 and UrgentMax are the waits of urgent work for its first start.
	UrgentP99 time.Duration
	UrgentMax time.Duration
	// LargeWait is the longest wait of large work for its first start.
	LargeWait time.Duration
	// LargeLate counts large work past its bound while it would have fitted.
	LargeLate int
	// Fragmentation is the share of free accelerator time, while work came in,
	// that could not serve the reference shape.
	Fragmentation float64
	// Rest is the part of it that would be left if all free accelerators lay
	// together, which no placement can better.
	Rest float64
	// LostHours is work that was done and thrown away, in accelerator hours
	// (slot hours for work without accelerators).
	LostHours float64
	// Unmet is the share of accounts' busy time with an unmet guarantee.
	Unmet   float64
	Refused map[model.Reason]int
	Failed  map[model.Reason]int
	Alarms  map[placement.AlarmCode]int
}

// Figures are the completion times and slowdowns of a group of work.
type Figures struct {
	Name         string
	Done         int
	Mean         time.Duration
	P50          time.Duration
	P99          time.Duration
	SlowdownMean float64
	SlowdownP50  float64
	SlowdownP99  float64
}

func (m *measure) result() Result {
	r := Result{
		Trace: m.trace.Name, Seed: m.trace.Seed, Policy: m.policy,
		All:      m.all.figures("all"),
		Reclaims: int(m.reclaim.TotalCount()), ReclaimP99: quantile(m.reclaim, 99),
		ReclaimMax: millis(m.reclaim.Max()), UrgentP99: quantile(m.urgent, 99), UrgentMax: millis(m.urgent.Max()),
		LargeWait: m.largeWait, LargeLate: m.largeLate,
		LostHours: m.lost.Hours(), Unmet: m.asks.share(),
		Refused: m.refusals, Failed: m.failures, Alarms: m.alarms,
	}
	if m.freeTime > 0 {
		r.Fragmentation = m.unservedTime / m.freeTime
		r.Rest = m.restTime / m.freeTime
	}
	for name, g := range m.groups {
		r.Groups = append(r.Groups, g.figures(name))
	}
	slices.SortFunc(r.Groups, func(a, b Figures) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

func (g *group) figures(name string) Figures {
	return Figures{
		Name: name, Done: g.done,
		Mean:         time.Duration(g.completion.Mean() * float64(time.Millisecond)),
		P50:          quantile(g.completion, 50),
		P99:          quantile(g.completion, 99),
		SlowdownMean: g.slowdown.Mean() / slowdownScale,
		SlowdownP50:  float64(g.slowdown.ValueAtQuantile(50)) / slowdownScale,
		SlowdownP99:  float64(g.slowdown.ValueAtQuantile(99)) / slowdownScale,
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return millis(h.ValueAtQuantile(q))
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

package experiment

import (
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Targets writes how each run stands against the baselines of the same trace:
// mean completion over that of the best baseline, and fragmentation over that
// of best fit. Reclaims and late large work stand for themselves.
func Targets(w io.Writer, rs []Result) {
	out := table.NewWriter()
	out.SetOutputMirror(w)
	out.AppendHeader(table.Row{
		"trace", "policy", "mean s", "mean/best", "frag", "rest", "frag/best-fit",
		"reclaim p99", "urgent max", "large late", "lost h", "unmet",
	})
	for _, r := range rs {
		best, fit := baselines(rs, r.Trace)
		out.AppendRow(table.Row{
			r.Trace, r.Policy, number(r.All.Mean.Seconds()), quotient(r.All.Mean.Seconds(), best.Seconds()),
			percent(r.Fragmentation), percent(r.Rest), quotient(r.Fragmentation, fit),
			short(r.ReclaimP99), short(r.UrgentMax), r.LargeLate, number(r.LostHours), percent(r.Unmet),
		})
	}
	out.Render()
}

// baselines gives the best mean of the baselines on a trace, and the
// fragmentation of best fit.
func baselines(rs []Result, trace string) (best time.Duration, frag float64) {
	for _, r := range rs {
		if r.Trace != trace {
			continue
		}
		switch r.Policy {
		case FirstCome().Name:
		case BestFit().Name:
			frag = r.Fragmentation
		default:
			continue
		}
		if best == 0 || r.All.Mean < best {
			best = r.All.Mean
		}
	}
	return best, frag
}

func quotient(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return number(a / b)
}

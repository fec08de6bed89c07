package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Table writes results as two tables: one line per run, and one per group.
func Table(w io.Writer, rs []Result) {
	runs := table.NewWriter()
	runs.SetOutputMirror(w)
	runs.AppendHeader(table.Row{
		"trace", "policy", "done", "refused", "failed", "mean", "p50", "p99", "slow mean", "slow p99",
		"reclaims", "reclaim p99", "max", "urgent p99", "max", "large wait", "late", "frag", "lost h", "unmet",
	})
	groups := table.NewWriter()
	groups.SetOutputMirror(w)
	groups.AppendHeader(table.Row{
		"trace", "policy", "group", "done", "mean", "p50", "p99", "slow mean", "slow p50", "slow p99",
	})
	for _, r := range rs {
		runs.AppendRow(table.Row{
			r.Trace, r.Policy, r.All.Done, counts(r.Refused), counts(r.Failed),
			short(r.All.Mean), short(r.All.P50), short(r.All.P99),
			number(r.All.SlowdownMean), number(r.All.SlowdownP99),
			r.Reclaims, short(r.ReclaimP99), short(r.ReclaimMax), short(r.UrgentP99), short(r.UrgentMax), short(r.LargeWait), r.LargeLate,
			percent(r.Fragmentation), number(r.LostHours), percent(r.Unmet),
		})
		for _, g := range r.Groups {
			groups.AppendRow(table.Row{
				r.Trace, r.Policy, g.Name, g.Done, short(g.Mean), short(g.P50), short(g.P99),
				number(g.SlowdownMean), number(g.SlowdownP50), number(g.SlowdownP99),
			})
		}
	}
	runs.Render()
	groups.Render()
}

// counts writes counters by name.
func counts[K ~string](m map[K]int) string {
	parts := make([]string, 0, len(m))
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s:%d", string(k), n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func short(d time.Duration) string {
	if d < 10*time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func number(f float64) string { return fmt.Sprintf("%.2f", f) }

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

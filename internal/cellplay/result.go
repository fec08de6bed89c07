package cellplay

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Result is what became of a trace under an order.
type Result struct {
	Mix   string
	Order string
	// Size is that of the trace.
	Size  Size
	Kinds []Figures
	// Open is the number of jobs that had not ended when the play was given up.
	Open      int
	Starts    int
	Preempted int
	// Runs is the mean number of runs at work.
	Runs float64
	// Faults are breaches that the stand-in fleet saw.
	Faults []string
}

// Figures are those of one kind of job.
type Figures struct {
	Kind string
	Jobs int
	Done int
	// InTime is the share of the jobs that were done within their objective.
	InTime float64
	// OfObjective is the mean time taken as a share of the objective.
	OfObjective float64
	// WaitP99 is of the waits for a job's first start, P50 and P99 of the times
	// from submission to the end.
	WaitP99 time.Duration
	P50     time.Duration
	P99     time.Duration
}

// Table writes results, one line for each kind.
func Table(w io.Writer, rs []Result) {
	out := table.NewWriter()
	out.SetOutputMirror(w)
	out.AppendHeader(table.Row{
		"mix", "workers", "load", "seed", "order", "kind", "jobs", "done", "in time", "of objective", "wait p99", "p50", "p99", "open", "starts", "preempted", "runs",
	})
	for _, r := range rs {
		for _, k := range r.Kinds {
			out.AppendRow(table.Row{
				r.Mix, r.Size.Workers, r.Size.Load, r.Size.Seed, r.Order, k.Kind, k.Jobs, k.Done, fmt.Sprintf("%.1f%%", 100*k.InTime), fmt.Sprintf("%.2f", k.OfObjective),
				tenths(k.WaitP99), tenths(k.P50), tenths(k.P99), r.Open, r.Starts, r.Preempted, fmt.Sprintf("%.0f", r.Runs),
			})
		}
	}
	out.Render()
}

func tenths(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

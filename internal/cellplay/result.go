package cellplay

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Result is what became of a trace under an order.
type Result struct {
	Mix     string
	Ranking string
	// Params is that of the trace.
	Params Params
	Kinds  []KindResult
	// Unfinished is the number of jobs that had not ended when the play was given up.
	Unfinished int
	Starts     int
	Preempted  int
	// MeanRuns is the mean number of runs at work.
	MeanRuns float64
	// Violations are breaches that the stand-in fleet saw.
	Violations []string
}

// KindResult are those of one kind of job.
type KindResult struct {
	Kind string
	Jobs int
	Done int
	// WithinObjective is the share of the jobs that were done within their objective.
	WithinObjective float64
	// MeanObjectiveRatio is the mean time taken as a share of the objective.
	MeanObjectiveRatio float64
	// WaitP99 is of the waits for a job's first start, P50 and P99 of the times
	// from submission to the end.
	WaitP99 time.Duration
	P50     time.Duration
	P99     time.Duration
}

// WriteTable writes results, one line for each kind.
func WriteTable(w io.Writer, rs []Result) {
	out := table.NewWriter()
	out.SetOutputMirror(w)
	out.AppendHeader(table.Row{
		"mix", "workers", "load", "seed", "order", "kind", "jobs", "done", "in time", "of objective", "wait p99", "p50", "p99", "open", "starts", "preempted", "runs",
	})
	for _, r := range rs {
		for _, k := range r.Kinds {
			out.AppendRow(table.Row{
				r.Mix, r.Params.Workers, r.Params.Load, r.Params.Seed, r.Ranking, k.Kind, k.Jobs, k.Done, fmt.Sprintf("%.1f%%", 100*k.WithinObjective), fmt.Sprintf("%.2f", k.MeanObjectiveRatio),
				tenths(k.WaitP99), tenths(k.P50), tenths(k.P99), r.Unfinished, r.Starts, r.Preempted, fmt.Sprintf("%.0f", r.MeanRuns),
			})
		}
	}
	out.Render()
}

func tenths(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

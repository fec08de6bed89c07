package cellplay

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Result sums up a trace's simulation under a ranking.
type Result struct {
	Mix     string
	Ranking string
	Params  Params
	Kinds   []KindResult
	// Unfinished is the number of jobs that had not ended when the simulation
	// stopped.
	Unfinished int
	Starts     int
	Preempted  int
	// MeanRuns is the mean number of runs in progress.
	MeanRuns float64
	// Violations are the breaches of the workers' protocol that the stand-in fleet
	// detected.
	Violations []string
	// IncompleteGangs is the number of runs that ended as the rest of their gang did not start in time.
	IncompleteGangs int
	// Standing is how long jobs had nothing running although there was room.
	Standing StandingResult
}

// KindResult sums up the jobs of one kind.
type KindResult struct {
	Kind     string
	Priority int
	// Jobs is the number of accepted jobs, Refused that of those that were refused and did not run.
	Jobs    int
	Refused int
	Done    int
	// WithinObjective is the fraction of the accepted jobs that were done within their
	// objective.
	WithinObjective float64
	// MeanObjectiveRatio is the mean ratio of a done job's duration to its
	// objective.
	MeanObjectiveRatio float64
	// WaitP99 is the 99th percentile of the time to a job's first start. P50 and P99
	// are percentiles of the time from submission to completion.
	WaitP99 time.Duration
	P50     time.Duration
	P99     time.Duration
}

// WriteTable writes the results as a table with one row for each kind.
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
				roundedText(k.WaitP99), roundedText(k.P50), roundedText(k.P99), r.Unfinished, r.Starts, r.Preempted, fmt.Sprintf("%.0f", r.MeanRuns),
			})
		}
	}
	out.Render()
}

func roundedText(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

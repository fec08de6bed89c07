package load

import (
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

const (
	median = 50
	p99    = 99
)

// WriteTable writes the counts as a table with a row for each kind and one for all.
func WriteTable(w io.Writer, t *Tally) {
	tw := table.NewWriter()
	tw.SetOutputMirror(w)
	tw.AppendHeader(table.Row{"kind", "sent", "done", "not_run", "unknown", "doubled", "lost", "untrue", "p50", "p99"})
	for _, r := range t.Rows() {
		tw.AppendRow(tableRow(r))
	}
	tw.AppendFooter(tableRow(t.Total()))
	tw.Render()
}

func tableRow(r Row) table.Row {
	return table.Row{
		r.Kind, r.Sent, r.Done, r.NotRun, r.Unknown, r.Doubled, r.Lost, r.Untrue,
		r.Quantile(median).Round(time.Millisecond / 10), r.Quantile(p99).Round(time.Millisecond / 10),
	}
}

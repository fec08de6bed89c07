package load

import (
	"time"

	"coltsfootmux/internal/report"
)

// Recording returns the tally's contents as a recording for a report.
func (t *Tally) Recording(title string, began time.Time, seed uint64) *report.Recording {
	r := &report.Recording{Title: title, Began: began, Seed: seed}
	for _, k := range t.Rows() {
		r.Kinds = append(r.Kinds, report.Kind{
			Kind: k.Kind, Sent: k.Sent, Done: k.Done, NotRun: k.NotRun, Unknown: k.Unknown,
			Doubled: k.Doubled, Lost: k.Lost, Untrue: k.Untrue, P50: k.Quantile(median), P99: k.Quantile(p99),
		})
	}
	for _, a := range t.Answers() {
		r.Answers = append(r.Answers, report.Answer{Kind: a.Kind, At: a.At, Latency: a.Latency, Outcome: a.Outcome})
	}
	return r
}

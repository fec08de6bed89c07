package docs

import (
	"cmp"
	"fmt"
	"strings"

	"coltsfootmux/internal/logevent"
	"coltsfootmux/internal/metric"
)

const eventsHeader = `# Events

Every log line carries the number of its event in the attribute ` + "`event`" + `. Numbers
are never reused. ` + "`go test ./internal/docs -update`" + ` writes
this table from the code; the same test fails when the two differ.

| range | package |
|---|---|
| 1000-1099 | links between processes |
| 1100-1199 | entry |
| 1200-1249 | tokens and certificates |
| 2000-2199 | scheduler |
| 2200-2299 | instance |
| 3000-3099 | administration API |
| 3100-3199 | configuration in force |
| 3200-3249 | audit trail |
| 4000-4099 | log client |
| 4100-4199 | platform clients |
| 4200-4299 | adapter to the users' platform |
| 5000-5199 | stand-ins |
| 6000-6099 | process |
| 7000-7099 | load and experiments |
| 8000-8099 | local deployment |

| event | level | text |
|---|---|---|
`

const metricsHeader = `# Metrics

Every program serves these at ` + "`/metrics`" + ` in Prometheus text format, besides the metrics
of the Go runtime and the process. Label values come from bounded sets.
` + "`go test ./internal/docs -update`" + ` writes this table from the code; the same test
fails when the two differ.

| metric | type | unit | label | meaning |
|---|---|---|---|---|
`

// EventsPage returns the page of all declared events.
func EventsPage() string {
	var b strings.Builder
	b.WriteString(eventsHeader)
	for _, e := range logevent.All() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Code, strings.ToLower(e.Level.String()), e.Text)
	}
	return b.String()
}

// MetricsPage returns the page of all declared metrics.
func MetricsPage() string {
	var b strings.Builder
	b.WriteString(metricsHeader)
	for _, m := range metric.All() {
		label := cmp.Or(m.Label, "-")
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Type, m.Unit, label, m.Help)
	}
	return b.String()
}

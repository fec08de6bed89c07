package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"coltsfootmux/internal/overview"
)

// Operators who are sent to an instance that does not own the cell must learn whom to ask.
func TestNodeInterference(t *testing.T) {
	pair := overview.Interference{Victim: "db:7", Neighbour: "scan", Slowdown: 1.512, Error: 0.0481, RunsWith: 40.3, RunsWithout: 60.7}
	for _, c := range []struct {
		cell *overview.Cell
		want []string
	}{
		{&overview.Cell{Interference: []overview.Interference{pair}}, []string{"db:7", "scan", "1.51", "0.048", "40", "61"}},
		{nil, []string{"front-1 does not own the cell", "10.0.0.2:1"}},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(overview.Instance{Name: "front-1", OwnerAddr: "10.0.0.2:1", Cell: c.cell})
		}))
		var out strings.Builder
		cmd := Command()
		cmd.Writer = &out
		if err := cmd.Run(t.Context(), []string{"coltsfootmuxctl", "--server", server.URL, "node", "interference"}); err != nil {
			t.Error(err)
		}
		server.Close()
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("output %q lacks %q", out.String(), want)
			}
		}
	}
}

package ctl

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/dghubble/sling"
	"github.com/urfave/cli/v3"
)

// answer is a transport that answers every request with a body.
type answer string

func (a answer) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Request: r, Header: http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(a)), Body: io.NopCloser(strings.NewReader(string(a))),
	}, nil
}

// Guards against a view that hides which account is over its share, or that shows an empty
// table where there are no shares to show.
func TestNodeAccounts(t *testing.T) {
	for name, c := range map[string]struct {
		status answer
		want   []string
	}{
		"accounts": {
			`{"cell":{"accounts":[{"name":"lab","guaranteed_gpu":16,"usage_of_share":4.256,"waiting_jobs":12,"over_share":true}]}}`,
			[]string{"lab", "16", "4.26", "12", "true", "USAGE OF SHARE"},
		},
		"another owner":   {`{"name":"n","owner_addr":"10.0.0.1:1"}`, []string{"n does not own the cell", "10.0.0.1:1"}},
		"shares not read": {`{"name":"n","cell":{}}`, []string{"n does not read the shares", "account-overuse"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			client := &Client{base: sling.New().Client(&http.Client{Transport: c.status}).Base("http://instance/")}
			if err := showNodeAccounts(t.Context(), &cli.Command{}, client, &printer{w: &out}); err != nil {
				t.Fatal(err)
			}
			for _, w := range c.want {
				if !strings.Contains(strings.ToUpper(out.String()), strings.ToUpper(w)) {
					t.Errorf("no %q in %q", w, out.String())
				}
			}
		})
	}
}

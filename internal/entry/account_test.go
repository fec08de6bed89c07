package entry_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

const tokensFile = `tokens:
  - {name: farms, role: account, account: farms, token: farms-token-0000001}
  - {name: labs, role: account, account: labs, token: labs-token-00000001}
  - {name: vik, role: viewer, token: viewer-token-000001}
  - {name: olga, role: operator, token: operator-token-0001}
`

func withTokens(t *testing.T) auth.Authenticator {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	if err := os.WriteFile(path, []byte(tokensFile), 0o600); err != nil {
		t.Fatal(err)
	}
	a, err := auth.NewTokens(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestAccountsSeeAndChangeOnlyTheirOwn(t *testing.T) {
	f := newScheduler(t)
	f.status = func(q wire.StatusQuery) wire.StatusReply {
		return wire.StatusReply{Items: []wire.Status{
			{Key: "k", Account: "farms", Kind: "x", State: wire.StateRunning, Members: 1},
		}}
	}
	s := newSystem(t, withTokens(t), document(), f)
	const farms, labs = "Bearer farms-token-0000001", "Bearer labs-token-00000001"
	const viewer, operator = "Bearer viewer-token-000001", "Bearer operator-token-0001"
	work := `{"key":"k","account":"farms","kind":"x"}`
	for name, c := range map[string]struct {
		token, method, path, body string
		status                    int
	}{
		"a call without a token":               {"", "GET", "/v1/requests/k", "", 401},
		"a call with a wrong token":            {"Bearer nope", "POST", "/v1/requests", work, 401},
		"an account sends its work":            {farms, "POST", "/v1/requests", work, 200},
		"an account may leave its name out":    {farms, "POST", "/v1/requests", `{"key":"k","kind":"x"}`, 200},
		"an account sends another's work":      {labs, "POST", "/v1/requests", work, 403},
		"an operator sends work":               {operator, "POST", "/v1/requests", work, 403},
		"an account sees its work":             {farms, "GET", "/v1/requests/k", "", 200},
		"an account looks at another's":        {labs, "GET", "/v1/requests/k", "", 404},
		"a viewer sees work":                   {viewer, "GET", "/v1/requests/k", "", 200},
		"an account lists its work":            {farms, "GET", "/v1/requests", "", 200},
		"an account lists another's":           {labs, "GET", "/v1/requests?account=farms", "", 403},
		"a viewer lists an account's":          {viewer, "GET", "/v1/requests?account=farms", "", 200},
		"a viewer lists without a name":        {viewer, "GET", "/v1/requests", "", 400},
		"an account cancels its work":          {farms, "DELETE", "/v1/requests/k", "", 200},
		"an account cancels in another's name": {labs, "DELETE", "/v1/requests/k?account=farms", "", 403},
		"an operator cancels work":             {operator, "DELETE", "/v1/requests/k?account=farms", "", 403},
		"a viewer cancels work":                {viewer, "DELETE", "/v1/requests/k?account=farms", "", 403},
	} {
		t.Run(name, func(t *testing.T) {
			got := s.do(t, c.method, c.path, c.body, "Authorization", c.token)
			if got.status != c.status {
				t.Errorf("got %d %s", got.status, got.body)
			}
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.cancels) != 1 || f.cancels[0] != (wire.Cancel{Key: "k", Account: "farms"}) {
		t.Errorf("cancels %+v", f.cancels)
	}
}

func TestCancellationSaysWhatBecameOfTheWork(t *testing.T) {
	f := newScheduler(t)
	s := newSystem(t, nil, document(), f)
	for name, c := range map[string]struct {
		reply  wire.CancelReply
		status int
		body   string
	}{
		"nothing had run":         {wire.CancelReply{Cancelled: true, Reason: model.ReasonCancelled}, 200, `"cancelled":true}`},
		"some of it had run":      {wire.CancelReply{Reason: model.ReasonCancelled}, 200, `"cancelled":true,"started":true}`},
		"it had ended":            {wire.CancelReply{Reason: model.ReasonOK}, 409, `"code":"already_ended"`},
		"it had failed":           {wire.CancelReply{Reason: model.ReasonTaskFailed}, 409, `"code":"already_ended"`},
		"it can't be told":        {wire.CancelReply{Reason: model.ReasonHistoryGap}, 409, `"code":"history_gap"`},
		"it is another account's": {wire.CancelReply{Reason: model.ReasonUnknownAccount}, 404, `"code":"not_found"`},
	} {
		t.Run(name, func(t *testing.T) {
			f.mu.Lock()
			f.cancel = c.reply
			f.mu.Unlock()
			got := s.do(t, "DELETE", "/v1/requests/k?account=farms", "")
			if got.status != c.status || !strings.Contains(got.body, c.body) {
				t.Errorf("got %d %s", got.status, got.body)
			}
		})
	}
}

func TestListPutsTheAnswersOfAllSchedulersTogether(t *testing.T) {
	a, b, dead := newScheduler(t), newScheduler(t), newScheduler(t)
	result := &model.Result{Outcome: model.OutcomeDone, Reason: model.ReasonOK, Answer: []byte(`5`)}
	a.status = func(wire.StatusQuery) wire.StatusReply {
		return wire.StatusReply{Items: []wire.Status{
			{Key: "k2", Account: "farms", State: wire.StateWaiting, StateReason: "no room"},
			{Key: "k1", Account: "farms", State: wire.StateRunning},
		}}
	}
	b.status = func(wire.StatusQuery) wire.StatusReply {
		return wire.StatusReply{Items: []wire.Status{
			{Key: "k1", Account: "farms", State: wire.StateEnded, Result: result},
			{Key: "k3", Account: "labs", State: wire.StateRunning},
		}}
	}
	s := newSystem(t, nil, document(), a, b)
	got := s.do(t, "GET", "/v1/requests?account=farms", "")
	want := `{"items":[{"key":"k1","account":"farms","state":"ended","outcome":"done","reason":"ok","answer":5},` +
		`{"key":"k2","account":"farms","state":"waiting","why":"no room"}],"complete":true}`
	if got.status != http.StatusOK || strings.TrimSpace(got.body) != want {
		t.Fatalf("got %d %s", got.status, got.body)
	}
	dead.kill()
	s = newSystem(t, nil, document(), a, dead)
	if got := s.do(t, "GET", "/v1/requests?account=farms", ""); !strings.Contains(got.body, `"complete":false`) {
		t.Fatalf("a list without one scheduler's part: %s", got.body)
	}
	if got := s.do(t, "GET", "/v1/requests?account=farms&limit=1", ""); strings.Contains(got.body, "k2") {
		t.Fatalf("a list of one: %s", got.body)
	}
	if got := s.do(t, "GET", "/v1/requests?account=farms&limit=x", ""); got.status != http.StatusBadRequest {
		t.Fatalf("a wrong limit: %d", got.status)
	}
}

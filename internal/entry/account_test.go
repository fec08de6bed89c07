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

func newAuthenticator(t *testing.T) auth.Authenticator {
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

func TestAccountsSeeAndChangeOnlyTheirOwnWork(t *testing.T) {
	f := newFakeScheduler(t)
	f.status = func(q wire.StatusQuery) wire.StatusReply {
		return wire.StatusReply{Items: []wire.Status{
			{Key: "k", Account: "farms", Kind: "x", State: wire.StateRunning, Members: 1},
		}}
	}
	s := newSystem(t, newAuthenticator(t), document(), f)
	const farms, labs = "Bearer farms-token-0000001", "Bearer labs-token-00000001"
	const viewer, operator = "Bearer viewer-token-000001", "Bearer operator-token-0001"
	work := `{"key":"k","account":"farms","kind":"x"}`
	for name, c := range map[string]struct {
		token, method, path, body string
		status                    int
	}{
		"a call without a token is rejected":        {"", "GET", "/v1/requests/k", "", 401},
		"a call with an unknown token is rejected":  {"Bearer nope", "POST", "/v1/requests", work, 401},
		"an account may submit work":                {farms, "POST", "/v1/requests", work, 200},
		"an account may omit its name":              {farms, "POST", "/v1/requests", `{"key":"k","kind":"x"}`, 200},
		"an account may not submit for another one": {labs, "POST", "/v1/requests", work, 403},
		"an operator may not submit work":           {operator, "POST", "/v1/requests", work, 403},
		"an account may see its work":               {farms, "GET", "/v1/requests/k", "", 200},
		"another account's work is not found":       {labs, "GET", "/v1/requests/k", "", 404},
		"a viewer may see any work":                 {viewer, "GET", "/v1/requests/k", "", 200},
		"an account may list its work":              {farms, "GET", "/v1/requests", "", 200},
		"an account may not list another's work":    {labs, "GET", "/v1/requests?account=farms", "", 403},
		"a viewer may list an account's work":       {viewer, "GET", "/v1/requests?account=farms", "", 200},
		"a viewer must name the account":            {viewer, "GET", "/v1/requests", "", 400},
		"an account may cancel its work":            {farms, "DELETE", "/v1/requests/k", "", 200},
		"an account may not cancel for another one": {labs, "DELETE", "/v1/requests/k?account=farms", "", 403},
		"an operator may not cancel work":           {operator, "DELETE", "/v1/requests/k?account=farms", "", 403},
		"a viewer may not cancel work":              {viewer, "DELETE", "/v1/requests/k?account=farms", "", 403},
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

func TestCancelReportsTheStateOfTheWork(t *testing.T) {
	f := newFakeScheduler(t)
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
		"its state is unknown":    {wire.CancelReply{Reason: model.ReasonHistoryGap}, 409, `"code":"history_gap"`},
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

func TestListMergesTheAnswersOfAllSchedulers(t *testing.T) {
	a, b, dead := newFakeScheduler(t), newFakeScheduler(t), newFakeScheduler(t)
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
		t.Fatalf("list without the answer of one scheduler: %s", got.body)
	}
	if got := s.do(t, "GET", "/v1/requests?account=farms&limit=1", ""); strings.Contains(got.body, "k2") {
		t.Fatalf("list with limit 1: %s", got.body)
	}
	if got := s.do(t, "GET", "/v1/requests?account=farms&limit=x", ""); got.status != http.StatusBadRequest {
		t.Fatalf("invalid limit: %d", got.status)
	}
}

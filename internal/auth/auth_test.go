package auth

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const good = `tokens:
  - {name: olga, role: operator, token: operator-token-0001}
  - {name: vik, role: viewer, token: viewer-token-000001}
  - {name: farms, role: account, account: farms, token: farms-token-0000001}
`

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func tokens(t *testing.T) (*Tokens, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	write(t, path, good)
	tk, err := NewTokens(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return tk, path
}

func show(token string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if token != "" {
		r.Header.Set("Authorization", token)
	}
	return r
}

func TestOnlyKnownTokensAreLetThrough(t *testing.T) {
	tk, _ := tokens(t)
	for name, c := range map[string]struct {
		header string
		want   string
	}{
		"a known token names its holder":       {"Bearer viewer-token-000001", "vik"},
		"the last token is found too":          {"Bearer farms-token-0000001", "farms"},
		"no header is refused":                 {"", ""},
		"another scheme is refused":            {"Basic viewer-token-000001", ""},
		"an unknown token is refused":          {"Bearer viewer-token-000002", ""},
		"a token's beginning is refused":       {"Bearer viewer-token", ""},
		"an empty token is refused":            {"Bearer ", ""},
		"a token with more behind is refused":  {"Bearer viewer-token-000001x", ""},
		"a token in other letters is refused":  {"Bearer VIEWER-TOKEN-000001", ""},
		"a holder's name is no token: refused": {"Bearer vik", ""},
	} {
		t.Run(name, func(t *testing.T) {
			who, err := tk.Authenticate(show(c.header))
			if who.Name != c.want || (err == nil) != (c.want != "") {
				t.Fatalf("got %q, %v", who.Name, err)
			}
			if err != nil && !errors.Is(err, ErrUnauthorized) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestRolesAllowWhatTheySay(t *testing.T) {
	account := Identity{Role: RoleAccount, Account: "farms"}
	viewer, operator := Identity{Role: RoleViewer}, Identity{Role: RoleOperator}
	for name, c := range map[string]struct{ got, want bool }{
		"an account sees its own":             {account.MaySee("farms"), true},
		"an account does not see another's":   {account.MaySee("labs"), false},
		"an account cancels its own":          {account.Owns("farms"), true},
		"an account cancels no other's":       {account.Owns("labs"), false},
		"an account does not operate":         {account.MayOperate(), false},
		"an account does not view everything": {account.MayView(), false},
		"a viewer sees each account":          {viewer.MaySee("labs"), true},
		"a viewer owns no work":               {viewer.Owns("labs"), false},
		"a viewer with an account owns none":  {Identity{Role: RoleViewer, Account: "labs"}.Owns("labs"), false},
		"a viewer does not operate":           {viewer.MayOperate(), false},
		"an operator operates":                {operator.MayOperate(), true},
		"an operator cancels no one's work":   {operator.Owns("labs"), false},
	} {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Fatalf("got %v", c.got)
			}
		})
	}
}

func TestWrongTokensFilesAreRefused(t *testing.T) {
	for name, content := range map[string]string{
		"an unknown field":            "tokens: [{name: a, role: viewer, token: 0123456789abcdef, color: red}]",
		"an unknown role":             "tokens: [{name: a, role: king, token: 0123456789abcdef}]",
		"a short token":               "tokens: [{name: a, role: viewer, token: short}]",
		"an account without its name": "tokens: [{name: a, role: account, token: 0123456789abcdef}]",
		"a viewer with an account":    "tokens: [{name: a, role: viewer, account: b, token: 0123456789abcdef}]",
		"no tokens at all":            "tokens: []",
		"no YAML":                     "\x00",
		"one token for two":           "tokens: [{name: a, role: viewer, token: 0123456789abcdef}, {name: b, role: operator, token: 0123456789abcdef}]",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := parse([]byte(content)); !errors.Is(err, ErrTokens) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestChangedTokensFileIsReadAgainAndAWrongOneIsNot(t *testing.T) {
	tk, path := tokens(t)
	now := time.Now()
	tk.source.now = func() time.Time { return now }
	later := func() { now = now.Add(2 * checkEvery) }

	write(t, path, "tokens: [nonsense")
	later()
	if _, err := tk.Authenticate(show("Bearer viewer-token-000001")); err != nil {
		t.Fatalf("a wrong file took the last good tokens away: %v", err)
	}
	write(t, path, "tokens: [{name: new, role: viewer, token: another-token-00001}]")
	later()
	if _, err := tk.Authenticate(show("Bearer viewer-token-000001")); err == nil {
		t.Error("a token that was taken out still works")
	}
	if who, err := tk.Authenticate(show("Bearer another-token-00001")); err != nil || who.Name != "new" {
		t.Errorf("new token: %v, %v", who, err)
	}
}

func TestMiddlewareStopsCallsBeforeTheHandler(t *testing.T) {
	tk, _ := tokens(t)
	for name, c := range map[string]struct {
		header string
		status int
	}{
		"without a token":            {"", http.StatusUnauthorized},
		"with a role that may not":   {"Bearer viewer-token-000001", http.StatusForbidden},
		"with the role that it asks": {"Bearer operator-token-0001", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			ran := false
			h := Middleware(tk, nil, Identity.MayOperate, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, ran = FromContext(r.Context())
			}))
			w := httptest.NewRecorder()
			h.ServeHTTP(w, show(c.header))
			if w.Code != c.status || ran != (c.status == http.StatusOK) {
				t.Fatalf("status %d, handler ran: %v", w.Code, ran)
			}
		})
	}
}

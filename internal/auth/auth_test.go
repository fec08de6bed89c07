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

const validTokensFile = `tokens:
  - {name: olga, role: operator, token: operator-token-0001}
  - {name: vik, role: viewer, token: viewer-token-000001}
  - {name: farms, role: account, account: farms, token: farms-token-0000001}
`

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newTestTokens(t *testing.T) (*Tokens, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	writeFile(t, path, validTokensFile)
	tk, err := NewTokens(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return tk, path
}

func requestWithHeader(authorization string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	return r
}

func TestAuthenticateAcceptsOnlyKnownTokens(t *testing.T) {
	tk, _ := newTestTokens(t)
	for name, c := range map[string]struct {
		header string
		want   string
	}{
		"accepts a known token":                      {"Bearer viewer-token-000001", "vik"},
		"accepts the last token of the file":         {"Bearer farms-token-0000001", "farms"},
		"rejects a missing header":                   {"", ""},
		"rejects another scheme":                     {"Basic viewer-token-000001", ""},
		"rejects an unknown token":                   {"Bearer viewer-token-000002", ""},
		"rejects a prefix of a token":                {"Bearer viewer-token", ""},
		"rejects an empty token":                     {"Bearer ", ""},
		"rejects a token with a suffix":              {"Bearer viewer-token-000001x", ""},
		"rejects a token in capitals":                {"Bearer VIEWER-TOKEN-000001", ""},
		"rejects a holder's name in a token's place": {"Bearer vik", ""},
	} {
		t.Run(name, func(t *testing.T) {
			who, err := tk.Authenticate(requestWithHeader(c.header))
			if who.Name != c.want || (err == nil) != (c.want != "") {
				t.Fatalf("got %q, %v", who.Name, err)
			}
			if err != nil && !errors.Is(err, ErrUnauthorized) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestRolePermissions(t *testing.T) {
	account := Identity{Role: RoleAccount, Account: "farms"}
	viewer, operator := Identity{Role: RoleViewer}, Identity{Role: RoleOperator}
	for name, c := range map[string]struct{ got, want bool }{
		"an account may see its own work":               {account.MayViewAccount("farms"), true},
		"an account may not see another account's work": {account.MayViewAccount("labs"), false},
		"an account may act for itself":                 {account.MayActFor("farms"), true},
		"an account may not act for another account":    {account.MayActFor("labs"), false},
		"an account may not operate":                    {account.MayOperate(), false},
		"an account may not see the whole system":       {account.MayViewAll(), false},
		"a viewer may see any account's work":           {viewer.MayViewAccount("labs"), true},
		"a viewer may not act for an account":           {viewer.MayActFor("labs"), false},
		"a viewer with an account may not act for it":   {Identity{Role: RoleViewer, Account: "labs"}.MayActFor("labs"), false},
		"a viewer may not operate":                      {viewer.MayOperate(), false},
		"an operator may operate":                       {operator.MayOperate(), true},
		"an operator may not act for an account":        {operator.MayActFor("labs"), false},
	} {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Fatalf("got %v", c.got)
			}
		})
	}
}

func TestInvalidTokensFilesAreRejected(t *testing.T) {
	for name, content := range map[string]string{
		"an unknown field":                "tokens: [{name: a, role: viewer, token: 0123456789abcdef, color: red}]",
		"an unknown role":                 "tokens: [{name: a, role: king, token: 0123456789abcdef}]",
		"a short token":                   "tokens: [{name: a, role: viewer, token: short}]",
		"role account without an account": "tokens: [{name: a, role: account, token: 0123456789abcdef}]",
		"a viewer with an account":        "tokens: [{name: a, role: viewer, account: b, token: 0123456789abcdef}]",
		"no tokens at all":                "tokens: []",
		"not YAML":                        "\x00",
		"two entries with the same token": "tokens: [{name: a, role: viewer, token: 0123456789abcdef}, {name: b, role: operator, token: 0123456789abcdef}]",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := parseTokensFile([]byte(content)); !errors.Is(err, ErrTokens) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestChangedTokensFileIsReloadedUnlessInvalid(t *testing.T) {
	tk, path := newTestTokens(t)
	now := time.Now()
	tk.reloader.now = func() time.Time { return now }
	later := func() { now = now.Add(2 * checkInterval) }

	writeFile(t, path, "tokens: [nonsense")
	later()
	if _, err := tk.Authenticate(requestWithHeader("Bearer viewer-token-000001")); err != nil {
		t.Fatalf("a valid token was rejected after the file became invalid: %v", err)
	}
	writeFile(t, path, "tokens: [{name: new, role: viewer, token: another-token-00001}]")
	later()
	if _, err := tk.Authenticate(requestWithHeader("Bearer viewer-token-000001")); err == nil {
		t.Error("a token that was removed from the file is still accepted")
	}
	if who, err := tk.Authenticate(requestWithHeader("Bearer another-token-00001")); err != nil || who.Name != "new" {
		t.Errorf("new token: %v, %v", who, err)
	}
}

func TestMiddlewareRejectsCallsBeforeTheHandler(t *testing.T) {
	tk, _ := newTestTokens(t)
	for name, c := range map[string]struct {
		header string
		status int
	}{
		"no token":                 {"", http.StatusUnauthorized},
		"role that is not allowed": {"Bearer viewer-token-000001", http.StatusForbidden},
		"role that is allowed":     {"Bearer operator-token-0001", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			ran := false
			h := Middleware(tk, nil, Identity.MayOperate, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, ran = FromContext(r.Context())
			}))
			w := httptest.NewRecorder()
			h.ServeHTTP(w, requestWithHeader(c.header))
			if w.Code != c.status || ran != (c.status == http.StatusOK) {
				t.Fatalf("status %d, handler ran: %v", w.Code, ran)
			}
		})
	}
}

package auth

import (
	"errors"
	"testing"
)

// FuzzTokens checks that any content of a tokens file is either rejected with
// ErrTokens or yields only valid entries.
func FuzzTokens(f *testing.F) {
	f.Add([]byte(validTokensFile))
	f.Add([]byte("tokens: [{name: a, role: viewer, token: &x 0123456789abcdef}, *x]"))
	f.Add([]byte("tokens: {"))
	f.Fuzz(func(t *testing.T, b []byte) {
		es, err := parseTokensFile(b)
		if err != nil {
			if !errors.Is(err, ErrTokens) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		for _, e := range es {
			if e.invalidReason() != "" {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}

package auth

import (
	"errors"
	"testing"
)

// FuzzTokens reads any bytes as a tokens file.
func FuzzTokens(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("tokens: [{name: a, role: viewer, token: &x 0123456789abcdef}, *x]"))
	f.Add([]byte("tokens: {"))
	f.Fuzz(func(t *testing.T, b []byte) {
		es, err := parse(b)
		if err != nil {
			if !errors.Is(err, ErrTokens) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		for _, e := range es {
			if e.fault() != "" {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}

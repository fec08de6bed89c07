package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// storedToken is a token as it is kept in memory: only its SHA-256 digest.
type storedToken struct {
	digest   [sha256.Size]byte
	identity Identity
}

// Tokens is an Authenticator for the bearer tokens listed in a file. The file is
// reloaded when it changes. If the new content is invalid, the previous tokens
// stay valid.
type Tokens struct {
	reloader *reloader[[]storedToken]
}

// NewTokens loads the tokens file. The error wraps ErrTokens.
func NewTokens(path string, log *slog.Logger) (*Tokens, error) {
	r, err := newReloader(log, evTokensNotReloaded, ErrTokens, parseTokens, path)
	if err != nil {
		return nil, err
	}
	return &Tokens{reloader: r}, nil
}

func parseTokens(contents [][]byte) ([]storedToken, error) {
	es, err := parseTokensFile(contents[0])
	if err != nil {
		return nil, err
	}
	out := make([]storedToken, len(es))
	for i, e := range es {
		out[i] = storedToken{
			digest:   sha256.Sum256([]byte(e.Token)),
			identity: Identity{Name: e.Name, Role: e.Role, Account: e.Account},
		}
	}
	return out, nil
}

// Authenticate identifies the holder of the call's bearer token. It compares with
// every token in constant time, so that its duration reveals nothing about the
// known tokens.
func (t *Tokens) Authenticate(r *http.Request) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, eris.Wrap(ErrUnauthorized, "no bearer token")
	}
	digest := sha256.Sum256([]byte(token))
	found := -1
	tokens := t.reloader.get(context.Background())
	for i := range tokens {
		same := subtle.ConstantTimeCompare(digest[:], tokens[i].digest[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return Identity{}, eris.Wrap(ErrUnauthorized, "unknown token")
	}
	return tokens[found].identity, nil
}

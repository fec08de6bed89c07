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

// known is a token as it is held: only its digest.
type known struct {
	sum [sha256.Size]byte
	who Identity
}

// Tokens is an Authenticator over a settings file. The file is read again when
// it changes; while the new content is wrong, the last good one holds.
type Tokens struct {
	source *source[[]known]
}

// NewTokens reads the file. The error wraps ErrTokens.
func NewTokens(path string, log *slog.Logger) (*Tokens, error) {
	s, err := newSource(log, evTokens, ErrTokens, readTokens, path)
	if err != nil {
		return nil, err
	}
	return &Tokens{source: s}, nil
}

func readTokens(contents [][]byte) ([]known, error) {
	es, err := parse(contents[0])
	if err != nil {
		return nil, err
	}
	out := make([]known, len(es))
	for i, e := range es {
		out[i] = known{
			sum: sha256.Sum256([]byte(e.Token)),
			who: Identity{Name: e.Name, Role: e.Role, Account: e.Account},
		}
	}
	return out, nil
}

// Authenticate finds the holder of the call's bearer token. It compares with
// every token, so its time says nothing of which one came near.
func (t *Tokens) Authenticate(r *http.Request) (Identity, error) {
	shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, eris.Wrap(ErrUnauthorized, "no bearer token")
	}
	sum := sha256.Sum256([]byte(shown))
	found := -1
	tokens := t.source.get(context.Background())
	for i := range tokens {
		same := subtle.ConstantTimeCompare(sum[:], tokens[i].sum[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return Identity{}, eris.Wrap(ErrUnauthorized, "token not known")
	}
	return tokens[found].who, nil
}

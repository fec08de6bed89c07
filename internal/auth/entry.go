package auth

import (
	"crypto/sha256"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
)

// minTokenBytes is the length of the shortest token that the file may contain.
const minTokenBytes = 16

// TokenEntry is one token in the tokens file.
type TokenEntry struct {
	Name    string        `yaml:"name"`
	Role    Role          `yaml:"role"`
	Account model.Account `yaml:"account"`
	Token   string        `yaml:"token"`
}

// tokensFile is the content of the file that lists the tokens.
type tokensFile struct {
	Tokens []TokenEntry `yaml:"tokens"`
}

// parseTokensFile decodes and checks the file's content. Unknown fields are errors.
func parseTokensFile(b []byte) ([]TokenEntry, error) {
	f, err := decodeYAML(b)
	if err != nil {
		return nil, err
	}
	if len(f.Tokens) == 0 {
		return nil, eris.Wrap(ErrTokens, "no tokens listed")
	}
	for i, e := range f.Tokens {
		if reason := e.invalidReason(); reason != "" {
			return nil, eris.Wrapf(ErrTokens, "token %d (%s): %s", i+1, e.Name, reason)
		}
	}
	return f.Tokens, checkUnique(f.Tokens)
}

// decodeYAML recovers from panics: the YAML library panics on some malformed
// documents, and reloading such a file must not end a running program.
func decodeYAML(b []byte) (f tokensFile, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = eris.Wrapf(ErrTokens, "malformed YAML: %v", p)
		}
	}()
	if err := yaml.UnmarshalWithOptions(b, &f, yaml.Strict()); err != nil {
		return f, eris.Wrap(ErrTokens, yaml.FormatError(err, false, false))
	}
	return f, nil
}

// invalidReason says what is wrong with the entry, or returns "" if it is valid.
func (e *TokenEntry) invalidReason() string {
	switch {
	case e.Name == "":
		return "name is missing"
	case !e.Role.Valid():
		return "role must be viewer, operator or account"
	case len(e.Token) < minTokenBytes:
		return "token must have at least 16 characters"
	case (e.Role == RoleAccount) != (e.Account != ""):
		return "account must be set with role account, and only then"
	}
	return ""
}

// checkUnique returns an error if two entries have the same token.
func checkUnique(es []TokenEntry) error {
	seen := make(map[[sha256.Size]byte]string, len(es))
	for _, e := range es {
		digest := sha256.Sum256([]byte(e.Token))
		if other, ok := seen[digest]; ok {
			return eris.Wrapf(ErrTokens, "%s and %s have the same token", other, e.Name)
		}
		seen[digest] = e.Name
	}
	return nil
}

package auth

import (
	"crypto/sha256"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
)

// minTokenBytes is the shortest token that is accepted in the file.
const minTokenBytes = 16

// Entry is one token of the settings file.
type Entry struct {
	Name    string        `yaml:"name"`
	Role    Role          `yaml:"role"`
	Account model.Account `yaml:"account"`
	Token   string        `yaml:"token"`
}

// file is the whole settings file.
type file struct {
	Tokens []Entry `yaml:"tokens"`
}

// parse reads the file's content. Unknown fields are refused.
func parse(b []byte) ([]Entry, error) {
	f, err := decode(b)
	if err != nil {
		return nil, err
	}
	if len(f.Tokens) == 0 {
		return nil, eris.Wrap(ErrTokens, "no tokens listed")
	}
	for i, e := range f.Tokens {
		if why := e.fault(); why != "" {
			return nil, eris.Wrapf(ErrTokens, "token %d (%s): %s", i+1, e.Name, why)
		}
	}
	return f.Tokens, unique(f.Tokens)
}

// decode reads YAML. The library panics on some malformed documents, which must
// not end a program that reads its file again.
func decode(b []byte) (f file, err error) {
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

func (e *Entry) fault() string {
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

func unique(es []Entry) error {
	seen := make(map[[sha256.Size]byte]string, len(es))
	for _, e := range es {
		sum := sha256.Sum256([]byte(e.Token))
		if other, ok := seen[sum]; ok {
			return eris.Wrapf(ErrTokens, "%s and %s have the same token", other, e.Name)
		}
		seen[sum] = e.Name
	}
	return nil
}

package auth

import "github.com/rotisserie/eris"

var (
	// ErrTokens means that the tokens file can't be read or is wrong.
	ErrTokens = eris.New("tokens file")
	// ErrCertificate means that the certificate files can't be read or are wrong.
	ErrCertificate = eris.New("certificate files")
	// ErrUnauthorized means that a call shows no token or one that is not known.
	ErrUnauthorized = eris.New("no valid token")
)

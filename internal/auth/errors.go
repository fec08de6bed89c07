package auth

import "github.com/rotisserie/eris"

var (
	// ErrTokens means that the tokens file can't be read or is invalid.
	ErrTokens = eris.New("cannot load the tokens file")
	// ErrCertificate means that the certificate files can't be read or are invalid.
	ErrCertificate = eris.New("cannot load the certificate files")
	// ErrUnauthorized means that a call has no token or an unknown one.
	ErrUnauthorized = eris.New("no valid token")
)

package api

import (
	"log/slog"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/node"
)

// Authenticator tells callers apart by the tokens file, or trusts everyone
// without one. The error is a *process.SettingError.
func (s *Settings) Authenticator(logger *slog.Logger) (auth.Authenticator, error) {
	if s.Tokens == "" {
		return auth.Open{}, nil
	}
	t, err := auth.NewTokens(s.Tokens, logger)
	if err != nil {
		return nil, wrong(FlagTokens, s.Tokens, "a tokens file: "+err.Error())
	}
	return t, nil
}

// Open opens the API's own listener; nil when it uses the node's. The error is a
// *process.SettingError or wraps node.ErrListen.
func (s *Settings) Open(logger *slog.Logger) (*node.Listener, error) {
	if s.Listen == "" {
		return nil, nil
	}
	cert, err := s.certificate(logger)
	if err != nil {
		return nil, err
	}
	ln, err := node.Listen(s.Listen)
	if err != nil {
		return nil, err
	}
	if cert != nil {
		ln.Secure(cert.Config())
	}
	return ln, nil
}

func (s *Settings) certificate(logger *slog.Logger) (*auth.Certificate, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	cert, err := auth.NewCertificate(s.TLSCert, s.TLSKey, logger)
	if err != nil {
		return nil, wrong(FlagTLSCert, s.TLSCert, "a certificate that fits --tls-key: "+err.Error())
	}
	return cert, nil
}

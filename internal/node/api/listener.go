package api

import (
	"log/slog"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/node"
)

// Authenticator returns an authenticator that checks callers against the tokens
// file, or one that trusts every caller if no file is set. The error is a
// *process.SettingError.
func (s *Settings) Authenticator(logger *slog.Logger) (auth.Authenticator, error) {
	if s.Tokens == "" {
		return auth.TrustAll{}, nil
	}
	t, err := auth.NewTokens(s.Tokens, logger)
	if err != nil {
		return nil, settingError(FlagTokens, s.Tokens, "a tokens file: "+err.Error())
	}
	return t, nil
}

// OpenListener opens the API's own listener. It returns nil if the API uses the
// node's listener. The error is a *process.SettingError or wraps node.ErrListen.
func (s *Settings) OpenListener(logger *slog.Logger) (*node.Listener, error) {
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
		ln.EnableTLS(cert.TLSConfig())
	}
	return ln, nil
}

func (s *Settings) certificate(logger *slog.Logger) (*auth.Certificate, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	cert, err := auth.NewCertificate(s.TLSCert, s.TLSKey, logger)
	if err != nil {
		return nil, settingError(FlagTLSCert, s.TLSCert, "a certificate that matches --tls-key: "+err.Error())
	}
	return cert, nil
}

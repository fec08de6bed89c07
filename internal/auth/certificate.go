package auth

import (
	"crypto/tls"
	"log/slog"

	"github.com/rotisserie/eris"
)

// Certificate is a TLS certificate that is reloaded when its files change. If the
// new files are invalid, the previous certificate stays in use.
type Certificate struct {
	reloader *reloader[*tls.Certificate]
}

// NewCertificate loads a certificate and its private key from PEM files. The
// error wraps ErrCertificate.
func NewCertificate(certFile, keyFile string, log *slog.Logger) (*Certificate, error) {
	r, err := newReloader(log, evCertificateNotReloaded, ErrCertificate, parseKeyPair, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &Certificate{reloader: r}, nil
}

func parseKeyPair(contents [][]byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, eris.Wrap(ErrCertificate, err.Error())
	}
	return &pair, nil
}

// TLSConfig returns the configuration of a listener that presents the certificate.
func (c *Certificate) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.reloader.get(hello.Context()), nil
		},
	}
}

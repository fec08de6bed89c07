package auth

import (
	"crypto/tls"
	"log/slog"

	"github.com/rotisserie/eris"
)

// Certificate is a TLS certificate that is read again when its files change;
// while the new files are wrong, the last good pair holds.
type Certificate struct {
	source *source[*tls.Certificate]
}

// NewCertificate reads the PEM files of the certificate and its key. The error
// wraps ErrCertificate.
func NewCertificate(certFile, keyFile string, log *slog.Logger) (*Certificate, error) {
	s, err := newSource(log, evCertificate, ErrCertificate, readPair, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &Certificate{source: s}, nil
}

func readPair(contents [][]byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, eris.Wrap(ErrCertificate, err.Error())
	}
	return &pair, nil
}

// Config gives the settings of a listener that shows the certificate.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.source.get(hello.Context()), nil
		},
	}
}

package auth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"path/filepath"
	"testing"
	"time"
)

// writeKeyPair writes a certificate with the serial number and its private key.
func writeKeyPair(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, certFile, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})))
	writeFile(t, keyFile, string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})))
}

func serialOf(t *testing.T, c *Certificate) int64 {
	t.Helper()
	got, err := c.TLSConfig().GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(got.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.SerialNumber.Int64()
}

func TestChangedCertificateIsReloadedUnlessInvalid(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writeKeyPair(t, certFile, keyFile, 1)
	c, err := NewCertificate(certFile, keyFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	c.reloader.now = func() time.Time { return now }
	if n := serialOf(t, c); n != 1 {
		t.Fatalf("serial %d", n)
	}

	writeFile(t, certFile, "half a file")
	now = now.Add(2 * checkInterval)
	if n := serialOf(t, c); n != 1 {
		t.Fatalf("serial %d after the file became invalid, want the previous certificate", n)
	}

	writeKeyPair(t, certFile, keyFile, 2)
	now = now.Add(2 * checkInterval)
	if n := serialOf(t, c); n != 2 {
		t.Fatalf("serial %d, want the new one", n)
	}
}

package program_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/dev"
	"coltsfootmux/internal/entry/program"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/node/api"
)

// testTimeout bounds waits for network connections.
const testTimeout = 25 * time.Second

// writeKeyPair writes a certificate for 127.0.0.1 with its key and returns a client
// that trusts it.
func writeKeyPair(t *testing.T, certFile, keyFile string) *http.Client {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	writeFile(t, certFile, cert)
	writeFile(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(cert)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startCluster starts a deployment with one scheduler.
func startCluster(t *testing.T, ctx context.Context) *dev.Cluster {
	t.Helper()
	size := dev.DefaultSize()
	size.OwnHosts = 1
	c, err := dev.Start(ctx, size, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

func TestProgramServesOverTLSAndDrainsOpenRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c := startCluster(t, ctx)
	dir := t.TempDir()
	cert, key, tokens := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), filepath.Join(dir, "t.yaml")
	client := writeKeyPair(t, cert, key)
	writeFile(t, tokens, []byte("tokens: [{name: o, role: account, account: orders, token: orders-token-000001}]"))
	p, err := program.New(program.Settings{
		Node: node.Settings{
			HostID: "e1", DataCentre: "riga-1", Region: "home", Listen: "127.0.0.1:0",
			LogURL: c.Platform.LogURL, HostsURL: c.Platform.HostsURL, DrainTimeout: testTimeout,
		},
		API: api.Settings{Listen: "127.0.0.1:0", TLSCert: cert, TLSKey: key, Tokens: tokens}, MaxOpenRequests: 100, MaxHeldMB: 16,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	running, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- p.Run(running) }()
	c.Platform.Hosts.Register(model.Host{ID: "e1", Role: model.RoleEntry, Addr: p.Node.Addr()})
	url := "https://" + p.APIAddr()
	await(t, ctx, p.Entry.Ready)
	if err := c.WaitForOwners(ctx); err != nil {
		t.Fatal(err)
	}

	if status, body := post(t, ctx, client, url, "", `{"account":"orders","kind":"x"}`); status != http.StatusUnauthorized {
		t.Errorf("without a token: %d %s", status, body)
	}
	got := make(chan string, 1)
	go func() {
		status, body := post(t, ctx, client, url, "orders-token-000001", `{"account":"orders","kind":"x","timeout":"8s","body":{"run_ms":700,"answer_bytes":10}}`)
		got <- http.StatusText(status) + " " + body
	}()
	await(t, ctx, func() bool { return p.Entry.OpenRequests() > 0 })
	stop()
	if answer := <-got; !strings.HasPrefix(answer, "OK ") || !strings.Contains(answer, `"outcome":"done"`) {
		t.Errorf("the request that was open at the shutdown: %s", answer)
	}
	if err := <-ended; err != nil {
		t.Errorf("program ended with %v", err)
	}
	if _, err := net.Dial("tcp", p.APIAddr()); err == nil {
		t.Error("the callers' listener is still open")
	}
}

// await waits until the condition is true.
func await(t *testing.T, ctx context.Context, condition func() bool) {
	t.Helper()
	for !condition() {
		if ctx.Err() != nil {
			t.Fatal("the condition was not met in time")
		}
		time.Sleep(time.Millisecond)
	}
}

// post sends a request with a new key.
func post(t *testing.T, ctx context.Context, client *http.Client, url, token, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/requests", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(b)
}

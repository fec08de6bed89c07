package fault_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/serve"
)

type message struct {
	Text string `json:"text"`
}

// handler returns a handler that echoes messages, with the faults of inj.
func handler(inj *fault.Injector) http.Handler {
	mux := http.NewServeMux()
	serve.Handle(mux, "POST /v1/echo", func(_ context.Context, in message) (message, error) { return in, nil })
	return fault.Handler(inj, mux)
}

func TestBadRequestsGetAClearError(t *testing.T) {
	huge := bytes.Repeat([]byte("a"), protocol.MaxRequest+1)
	for name, tc := range map[string]struct {
		method, path string
		body         io.Reader
		status       int
	}{
		"malformed JSON":        {"POST", "/v1/echo", strings.NewReader("{"), http.StatusBadRequest},
		"not JSON":              {"POST", "/v1/echo", strings.NewReader("\x00\xff"), http.StatusBadRequest},
		"a wrong field type":    {"POST", "/v1/echo", strings.NewReader(`{"text":1}`), http.StatusBadRequest},
		"an unknown field":      {"POST", "/v1/echo", strings.NewReader(`{"txt":""}`), http.StatusBadRequest},
		"two JSON values":       {"POST", "/v1/echo", strings.NewReader(`{}{}`), http.StatusBadRequest},
		"a body over the limit": {"POST", "/v1/echo", bytes.NewReader(huge), http.StatusRequestEntityTooLarge},
		"a truncated body":      {"POST", "/v1/echo", io.MultiReader(strings.NewReader(`{"te`), brokenReader{}), http.StatusBadRequest},
		"an unknown path":       {"POST", "/v1/other", strings.NewReader(`{}`), http.StatusNotFound},
		"an unknown method":     {"GET", "/v1/echo", strings.NewReader(`{}`), http.StatusMethodNotAllowed},
	} {
		t.Run(name, func(t *testing.T) {
			res := httptest.NewRecorder()
			handler(fault.NewInjector(time.Now)).ServeHTTP(res, httptest.NewRequest(tc.method, tc.path, tc.body))
			if res.Code != tc.status {
				t.Fatalf("status %d, want %d: %s", res.Code, tc.status, res.Body)
			}
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestSlowSenderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		srv := serve.NewServer(handler(fault.NewInjector(time.Now)))
		go func() { _ = srv.Serve(listener) }()
		defer srv.Close()
		for name, head := range map[string]string{
			"in its header": "POST /v1/echo HTTP/1.1\r\nHost: x\r\n",
			"in its body":   "POST /v1/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{",
		} {
			conn := listener.dial()
			begun := time.Now()
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			// The server closes the connection although the sender keeps it open.
			_, _ = io.Copy(io.Discard, conn)
			if took := time.Since(begun); took > time.Minute {
				t.Errorf("%s: cut off after %v", name, took)
			}
			conn.Close()
		}
	})
}

// pipeListener accepts in-memory connections, so that the test can run in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

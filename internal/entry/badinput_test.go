package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/entry"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/node"
	"coltsfootmux/internal/wire"
)

// listen serves the system on the kind of listener that the program uses.
func listen(t *testing.T, s *testSystem) string {
	t.Helper()
	ln, err := node.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- ln.Serve(s.Handler()) }()
	t.Cleanup(func() {
		_ = ln.Close()
		<-served
	})
	return ln.Addr()
}

// sendRaw writes raw bytes, closes the write side if closeWrite is set, and returns
// the status of the response; 0 if the connection was closed without one.
func sendRaw(t *testing.T, addr, raw string, closeWrite bool) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, raw) // the other side may close early
	if closeWrite {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestListenerSurvivesBadInput(t *testing.T) {
	f := newFakeScheduler(t)
	s := startSystem(t, entry.Options{BodyTimeout: 300 * time.Millisecond}, document(), link.PoolOptions{}, f.addr)
	addr := listen(t, s)
	post := func(length int, body string) string {
		return fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
	}
	for name, c := range map[string]struct {
		raw    string
		close  bool
		status []int
	}{
		"nothing":                  {"", true, []int{0, 400}},
		"bytes that are not HTTP":  {"\x16\x03\x01\x00\xff\xff\r\n\r\n", true, []int{400}},
		"an incomplete header":     {"POST /v1/requests HTTP/1.1\r\nHost: x\r\nConte", true, []int{0, 400}},
		"an endless header":        {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<20), false, []int{0, 431}},
		"an incomplete body":       {post(100, `{"key":`), true, []int{400}},
		"a body that never comes":  {post(100, `{"key":`), false, []int{408}},
		"a body announced as huge": {post(1<<40, `{"key":`), false, []int{413, 408}},
		"a negative length":        {post(-1, ""), false, []int{400}},
		"an invalid chunk size":    {"POST /v1/requests HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, []int{400}},
		"two lengths":              {"POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, []int{400}},
		"an upgrade to a link":     {"GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n", false, []int{404}},
	} {
		t.Run(name, func(t *testing.T) {
			got := sendRaw(t, addr, c.raw, c.close)
			for _, want := range c.status {
				if got == want {
					return
				}
			}
			t.Errorf("status %d, want one of %v", got, c.status)
		})
	}
	if n := len(f.submitted()); n != 0 {
		t.Errorf("%d bad requests reached a scheduler", n)
	}
	if got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x"}`); got.status != http.StatusOK {
		t.Errorf("a valid request after the invalid ones: %d %s", got.status, got.body)
	}
	for end := time.Now().Add(testTimeout); s.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests still open", s.OpenRequests())
		}
	}
}

func TestTotalSizeOfOpenBodiesIsBounded(t *testing.T) {
	f := newFakeScheduler(t)
	doc := document()
	s := startSystem(t, entry.Options{MaxHeldBytes: 3 << 20, BodyTimeout: testTimeout}, doc, link.PoolOptions{}, f.addr)
	addr := listen(t, s)
	const length = 1 << 20
	head := fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n{", length)
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, head); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for end := time.Now().Add(testTimeout); s.OpenRequests() < len(conns); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests open", s.OpenRequests())
		}
	}
	if got := sendRaw(t, addr, head, false); got != http.StatusServiceUnavailable {
		t.Fatalf("a fourth large body: status %d", got)
	}
}

func TestNumberOfOpenRequestsIsBounded(t *testing.T) {
	f := newFakeScheduler(t)
	s := startSystem(t, entry.Options{MaxOpenRequests: 2, BodyTimeout: testTimeout}, document(), link.PoolOptions{}, f.addr)
	addr := listen(t, s)
	for range 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(testTimeout); s.OpenRequests() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests open", s.OpenRequests())
		}
	}
	got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x"}`)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Fatalf("got %d %s", got.status, got.body)
	}
}

func TestConnectionWithASlowHeaderIsClosed(t *testing.T) {
	t.Parallel()
	s := newSystem(t, nil, document(), newFakeScheduler(t))
	c, err := net.Dial("tcp", listen(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Fatalf("the connection is still open: %v", err)
	}
}

func TestRequestOfACallerThatDoesNotReadEnds(t *testing.T) {
	f := newFakeScheduler(t)
	f.submit = func(context.Context, wire.Submit) (wire.SubmitReply, error) {
		return doneReply(make([]byte, 6<<20)), nil
	}
	s := startSystem(t, entry.Options{WriteTimeout: 200 * time.Millisecond}, document(), link.PoolOptions{}, f.addr)
	c, err := net.Dial("tcp", listen(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := `{"key":"k","account":"farms","kind":"x"}`
	if _, err := fmt.Fprintf(c, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); len(f.submitted()) == 0 || s.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests still open", s.OpenRequests())
		}
	}
}

// The second request arrives after the write deadline of the first response, which
// must not apply to it.
func TestWriteTimeoutDoesNotApplyToTheNextRequest(t *testing.T) {
	f := newFakeScheduler(t)
	const writeTimeout = 50 * time.Millisecond
	s := startSystem(t, entry.Options{WriteTimeout: writeTimeout}, document(), link.PoolOptions{}, f.addr)
	c, err := net.Dial("tcp", listen(t, s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	body := `{"key":"k","account":"farms","kind":"x"}`
	for range 2 {
		head := fmt.Sprintf("POST /v1/requests HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
		if _, err := io.WriteString(c, head); err != nil {
			t.Fatal(err)
		}
		for _, want := range []int{http.StatusContinue, http.StatusOK} {
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != want {
				t.Fatalf("got %+v, %v, want %d", resp, err, want)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if want == http.StatusContinue {
				if _, err := io.WriteString(c, body); err != nil {
					t.Fatal(err)
				}
			}
		}
		time.Sleep(2 * writeTimeout)
	}
}

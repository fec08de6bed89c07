package httpcall_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpcall"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/scenario/memnet"
)

type body struct {
	N int `json:"n"`
}

// callerOf gives a caller of a server in memory. It is to be called in a
// synctest bubble.
func callerOf(t *testing.T, h http.HandlerFunc) *httpcall.Caller {
	t.Helper()
	network := memnet.New()
	srv := &http.Server{Handler: h}
	l := network.Listen("far:80")
	go func() { _ = srv.Serve(l) }()
	c := httpcall.New("http://far", httpcall.Options{Dial: network.Dial})
	t.Cleanup(func() {
		c.Close()
		_ = srv.Close()
		// Handlers notice that their caller has gone before the bubble ends.
		time.Sleep(time.Second)
	})
	return c
}

func TestAnswerThatIsNotWholeIsUnclear(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"no JSON":           func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) },
		"cut short":         func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"n":`)) },
		"another type":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"n":"x"}`)) },
		"dropped":           func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"shorter than said": shorterThanSaid,
		"over the limit":    overTheLimit,
		"never sent":        neverSent,
		"sent byte by byte": drip,
		"a proxy's error":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := callerOf(t, h)
				begun := time.Now()
				err := c.Post(context.Background(), "/x", 0, body{}, &body{})
				if !errors.Is(err, platform.ErrUnclear) {
					t.Fatalf("got %v", err)
				}
				if took := time.Since(begun); took > time.Minute {
					t.Fatalf("given up after %v", took)
				}
			})
		})
	}
}

func shorterThanSaid(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"n":1}`))
}

func overTheLimit(w http.ResponseWriter, _ *http.Request) {
	chunk := bytes.Repeat([]byte(" "), 1<<20)
	for range protocol.MaxResponse>>20 + 2 {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// neverSent reads the request whole, as only then a server notices that its
// caller has gone.
func neverSent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func drip(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	for r.Context().Err() == nil {
		_, _ = w.Write([]byte(" "))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

func TestLargeAnswerOverASlowLinkArrivesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The answer takes five timeouts in all, a quarter of one between its parts.
		c := callerOf(t, func(w http.ResponseWriter, _ *http.Request) {
			for range 20 {
				_, _ = w.Write([]byte(" "))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(500 * time.Millisecond)
			}
			_, _ = w.Write([]byte(`{"n":7}`))
		})
		var out body
		if err := c.Post(context.Background(), "/x", 0, body{}, &out); err != nil || out.N != 7 {
			t.Fatalf("got %+v, %v", out, err)
		}
	})
}

func TestNothingIsSentWithoutAConnection(t *testing.T) {
	never := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("connection refused")
	}
	for name, dial := range map[string]httpcall.DialFunc{"dial refused": refused, "dial without answer": never} {
		t.Run(name, func(t *testing.T) {
			c := httpcall.New("http://127.0.0.1:1", httpcall.Options{Timeout: 100 * time.Millisecond, Dial: dial})
			if err := c.Post(context.Background(), "/x", 0, body{}, &body{}); !errors.Is(err, platform.ErrNotSent) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestCallWithAnEndedContextIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := callerOf(t, func(http.ResponseWriter, *http.Request) {})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := c.Post(ctx, "/x", 0, body{}, &body{}); !errors.Is(err, platform.ErrNotSent) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestOpenConnectionsAreBounded(t *testing.T) {
	var open, most atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = w.Write([]byte("{}"))
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			most.Store(max(most.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	srv.Start()
	defer srv.Close()
	c := httpcall.New(srv.URL, httpcall.Options{MaxConns: 5, Timeout: 10 * time.Second})
	defer c.Close()
	errs := make(chan error, 100)
	for range cap(errs) {
		go func() { errs <- c.Post(context.Background(), "/x", 0, body{}, &body{}) }()
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if got := most.Load(); got > 5 {
		t.Errorf("%d connections open at once", got)
	}
}

func TestBaseURLKeepsPathsAbsolute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var path atomic.Value
		c := callerOf(t, func(w http.ResponseWriter, r *http.Request) {
			path.Store(r.URL.Path + r.Header.Get(protocol.HeaderRegion))
			_, _ = w.Write([]byte("{}"))
		})
		if err := c.Post(context.Background(), "/v1/start", 0, body{}, &body{}); err != nil {
			t.Fatal(err)
		}
		if got := path.Load().(string); !strings.HasPrefix(got, "/v1/start") {
			t.Fatal(got)
		}
	})
}

package link_test

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// TestProcessThatAnswersAgainIsDialledAtOnce guards against taking a process for silent because the pool
// waits, for up to 2 s, to dial it again.
func TestProcessThatAnswersAgainIsDialledAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	p := newPool(t, link.PoolOptions{Seed: 1})
	ctx := testContext(t)
	call := func() error {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{})
		return err
	}
	for range 10 {
		p.DialAtOnce(addr)
		if err := call(); !errors.Is(err, link.ErrNotExecuted) || strings.Contains(err.Error(), "waiting to dial") {
			t.Fatalf("call: %v", err)
		}
	}
	if ln, err = net.Listen("tcp", addr); err != nil {
		t.Fatalf("the port is in use by another process: %v", err)
	}
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	mux := http.NewServeMux()
	mux.Handle(link.Path, s)
	hs := &http.Server{Handler: mux, ReadHeaderTimeout: testTimeout}
	go func() { _ = hs.Serve(ln) }()
	t.Cleanup(func() { _ = hs.Close() })
	if err := call(); err == nil || !strings.Contains(err.Error(), "waiting to dial") {
		t.Fatalf("call: %v", err)
	}
	p.DialAtOnce(addr)
	if err := call(); err != nil {
		t.Errorf("call: %v", err)
	}
}

package link_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

func encodeFrame(t *testing.T, f frame.Frame) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := frame.Encode(&buf, &f); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func TestServerSurvivesBadMessages(t *testing.T) {
	s := link.NewServer(link.ServerOptions{Limits: core.Limits{MaxMessageBytes: 1 << 20}})
	link.Handle(s, wire.KindSubmit, echo)
	addr := serve(t, s)
	body := []byte{0xff, 0x00}
	good := frame.Frame{Type: frame.Request, Call: 1, Kind: wire.KindSubmit, Total: 2, Payload: body, Sum: frame.Checksum(frame.Request, 1, 0, body)}
	for name, message := range map[string][]byte{
		"empty":                     {},
		"not CBOR":                  []byte("GET / HTTP/1.1"),
		"a truncated frame":         encodeFrame(t, good)[:5],
		"a frame over the limit":    make([]byte, frame.MaxBytes+1),
		"deeply nested arrays":      bytes.Repeat([]byte{0x81}, 60_000),
		"the head of a huge array":  {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"the head of a huge string": {0x89, 1, 1, 0, 1, 0, 0, 0, 0, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"a request that is not a message of its kind": encodeFrame(t, good),
		"a request of a kind without a handler":       encodeFrame(t, frame.Frame{Type: frame.Request, Call: 1, Kind: 200, Sum: frame.Checksum(frame.Request, 1, 0, nil)}),
		"a frame of a huge message":                   encodeFrame(t, frame.Frame{Type: frame.Request, Call: 1, Total: 1 << 62, Payload: body}),
		"an answer without a call":                    encodeFrame(t, frame.Frame{Type: frame.Response, Call: 1}),
	} {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			ws, _, err := websocket.Dial(ctx, "ws://"+addr+link.Path, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer ws.CloseNow()
			_ = ws.Write(ctx, websocket.MessageBinary, message) // the server may have closed the connection
			p := newPool(t, link.PoolOptions{})
			if _, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{}); err != nil {
				t.Errorf("valid call afterwards: %v", err)
			}
		})
	}
}

func TestUndecodableOrUnhandledRequestFails(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, func(context.Context, link.Peer, wire.Submit) (wire.SubmitReply, error) {
		t.Error("the handler ran")
		return wire.SubmitReply{}, nil
	})
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{})
	for _, call := range []func() error{
		func() error {
			_, err := link.Call[string, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, "text")
			return err
		},
		func() error {
			_, err := link.Call[wire.Cancel, wire.CancelReply](testContext(t), p, addr, wire.KindCancel, wire.Cancel{})
			return err
		},
	} {
		if err := call(); !errors.Is(err, link.ErrRemote) {
			t.Errorf("got %v", err)
		}
	}
}

func TestServerRefusesWrongSecretAndLinksOverMaxLinks(t *testing.T) {
	s := link.NewServer(link.ServerOptions{Secret: "letmein", MaxLinks: 1})
	link.Handle(s, wire.KindSubmit, echo)
	addr := serve(t, s)
	callWith := func(secret string) error {
		p := newPool(t, link.PoolOptions{Secret: secret})
		_, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, wire.Submit{})
		return err
	}
	if err := callWith("wrong"); !errors.Is(err, link.ErrNotExecuted) || !strings.Contains(err.Error(), "401") {
		t.Errorf("wrong secret: %v", err)
	}
	if err := callWith("letmein"); err != nil {
		t.Errorf("right secret: %v", err)
	}
	if err := callWith("letmein"); !errors.Is(err, link.ErrNotExecuted) || !strings.Contains(err.Error(), "503") {
		t.Errorf("second link: %v", err)
	}
}

func TestServerSurvivesInvalidWebSocketData(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	addr := serve(t, s)
	upgrade := "GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	for name, raw := range map[string]string{
		"a plain HTTP request":       "GET /link HTTP/1.1\r\nHost: x\r\n\r\n",
		"an unmasked frame":          upgrade + "\x82\x01x",
		"a frame with reserved bits": upgrade + "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
		"the header of a huge frame": upgrade + "\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00",
		"a truncated frame":          upgrade + "\x82\xfe",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, raw)
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Logf("connection ended with %v", err)
			}
			p := newPool(t, link.PoolOptions{})
			if _, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, wire.Submit{}); err != nil {
				t.Errorf("valid call afterwards: %v", err)
			}
		})
	}
}

func TestCallToOtherHTTPServerIsNotExecuted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	p := newPool(t, link.PoolOptions{})
	_, err = link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, ln.Addr().String(), wire.KindSubmit, wire.Submit{})
	if !errors.Is(err, link.ErrNotExecuted) {
		t.Fatalf("got %v", err)
	}
}

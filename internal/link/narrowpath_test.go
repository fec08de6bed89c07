package link_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/inbound"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/link/linktest"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// serveLargeFrames answers each request with an error in one frame of the largest size, as processes of
// earlier versions send them, and each heartbeat with its echo. It returns its address.
func serveLargeFrames(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(link.Path, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		for answerFrame(r, ws) {
		}
	})
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	return hs.Listener.Addr().String()
}

// answerFrame reads a frame and writes its answer.
func answerFrame(r *http.Request, ws *websocket.Conn) bool {
	_, raw, err := ws.Read(r.Context())
	if err != nil {
		return false
	}
	f, err := frame.Decode(raw)
	if err != nil {
		return false
	}
	switch f.Type {
	case frame.Heartbeat:
		f.Offset = f.Call
	case frame.Request:
		f.Type, f.Offset, f.Timeout = frame.HandlerError, 0, 0
		f.Payload, f.Total = make([]byte, frame.ChunkBytes), frame.ChunkBytes
		f.Sum = frame.Checksum(f.Type, f.Call, f.Attempt, f.Payload)
	}
	var buf bytes.Buffer
	return frame.Encode(&buf, &f) == nil && ws.Write(r.Context(), websocket.MessageBinary, buf.Bytes()) == nil
}

// TestFrameThatTakesLongerThanTheSilenceTimeoutArrives guards against links over narrow paths that are
// closed as silent although bytes arrive all the time.
func TestFrameThatTakesLongerThanTheSilenceTimeoutArrives(t *testing.T) {
	limits := core.Limits{HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: time.Second}
	addr := linktest.NewNarrowPath(t, serveLargeFrames(t), frame.ChunkBytes/2)
	p := newPool(t, link.PoolOptions{Limits: limits})
	_, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, wire.Submit{})
	var remote *link.RemoteError
	if !errors.As(err, &remote) || len(remote.Text) != frame.ChunkBytes {
		t.Errorf("call: %v", err)
	}
}

// serveInbound runs a server as instances do and returns its address.
func serveInbound(t *testing.T, s *link.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, s)
	in := inbound.NewServer(inbound.Options{
		Name: "test", Listener: ln, Handler: mux, MaxConns: 10, Logger: slog.New(slog.DiscardHandler),
	})
	go func() { _ = in.Serve() }()
	t.Cleanup(func() { _ = in.Close() })
	return ln.Addr().String()
}

// TestLongAnswerOverANarrowPathArrives guards against links that are closed because heartbeats, which carry
// the echoes, wait in the socket's buffer behind seconds of data.
func TestLongAnswerOverANarrowPathArrives(t *testing.T) {
	const answerBytes, bytesPerSecond = 600_000, 160_000
	limits := core.Limits{HeartbeatInterval: 200 * time.Millisecond, SilenceTimeout: time.Second}
	s := link.NewServer(link.ServerOptions{Limits: limits})
	link.Handle(s, wire.KindSubmit, func(context.Context, link.Peer, wire.Submit) (wire.SubmitReply, error) {
		return wire.SubmitReply{Result: model.Result{Answer: make([]byte, answerBytes)}}, nil
	})
	addr := linktest.NewNarrowPath(t, serveInbound(t, s), bytesPerSecond)
	p := newPool(t, link.PoolOptions{Limits: limits})
	r, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, wire.Submit{})
	if err != nil || len(r.Result.Answer) != answerBytes {
		t.Errorf("answer of %d bytes: %v", len(r.Result.Answer), err)
	}
}

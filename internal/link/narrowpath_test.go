package link_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/link/linktest"
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

package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// mutePeer accepts links and sends nothing on them until it is heard.
type mutePeer struct {
	server *link.Server
	heard  atomic.Bool
	dials  atomic.Int64
}

func (p *mutePeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.heard.Load() {
		p.server.ServeHTTP(w, r)
		return
	}
	p.dials.Add(1)
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	for err == nil {
		_, _, err = ws.Read(r.Context())
	}
}

// TestPeerThatOpensLinksAndStaysSilentIsDialledEverLessOften guards against a load of new links on a process
// that lacks the time to answer, and against a process that stays out of reach when it answers again.
func TestPeerThatOpensLinksAndStaysSilentIsDialledEverLessOften(t *testing.T) {
	const silenceTimeout = 100 * time.Millisecond
	peer := &mutePeer{server: link.NewServer(link.ServerOptions{})}
	link.Handle(peer.server, wire.KindSubmit, echo)
	mux := http.NewServeMux()
	mux.Handle(link.Path, peer)
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	p := newPool(t, link.PoolOptions{Seed: 1, Limits: core.Limits{
		HeartbeatInterval: silenceTimeout / 3, SilenceTimeout: silenceTimeout, MaxRedialWait: 800 * time.Millisecond,
	}})
	ctx := testContext(t)
	call := func() error {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := link.Call[wire.Submit, wire.SubmitReply](limited, p, hs.Listener.Addr().String(), wire.KindSubmit, wire.Submit{})
		return err
	}
	for begin := time.Now(); time.Since(begin) < 30*silenceTimeout; time.Sleep(time.Millisecond) {
		if call() == nil {
			t.Fatal("a call was answered")
		}
	}
	if n := peer.dials.Load(); n > 10 {
		t.Errorf("dialled %d times within 30 silence timeouts", n)
	}
	peer.heard.Store(true)
	for call() != nil {
		if ctx.Err() != nil {
			t.Fatal("not reached again")
		}
		time.Sleep(time.Millisecond)
	}
}

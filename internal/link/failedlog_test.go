package link_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// syncBuffer is a buffer that several goroutines may write and read.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestLogLineOfAFailedLinkTellsTheCausesApart guards against a line that does not say whether the peer, the
// path or this process was at fault.
func TestLogLineOfAFailedLinkTellsTheCausesApart(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(link.Path, &mutePeer{})
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	var log syncBuffer
	p := newPool(t, link.PoolOptions{
		Logger: slog.New(slog.NewTextHandler(&log, nil)),
		Limits: core.Limits{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 60 * time.Millisecond},
	})
	_, _ = link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, hs.Listener.Addr().String(), wire.KindSubmit, wire.Submit{})
	_ = p.Close() // waits for the line
	for _, want := range []string{`msg="link failed"`, "age=", "last_frame=", "last_bytes=", "queued_bytes=0", "check_late="} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %s in %q", want, log.String())
		}
	}
}

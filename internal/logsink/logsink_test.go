package logsink

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func TestSinkDropsAndCountsLinesWhenOutputBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	s := NewSink(out)
	const lines = queueLines + 500
	for range lines {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	// The writing goroutine may have taken one line from the queue.
	if n := s.TakeDropped(); n < 499 || n > 500 {
		t.Errorf("%d lines dropped, want about 500", n)
	}
	close(out.release)
	s.Close()
}

func TestHandlerLimitsEachEventAndReportsLinesLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := NewSink(&out)
		l := slog.New(NewHandler(slog.NewTextHandler(s, nil), s))
		for range burstLines + 300 {
			l.Info("often", "event", 7)
		}
		l.Info("seldom", "event", 8)
		time.Sleep(time.Second)
		l.Info("often", "event", 7)
		s.Close()
		text := out.String()
		if n := strings.Count(text, "msg=often"); n != burstLines+1 {
			t.Errorf("%d lines of the frequent event, want %d", n, burstLines+1)
		}
		if !strings.Contains(text, "msg=seldom") {
			t.Error("a line of another event was left out too")
		}
		if !strings.Contains(text, "left_out=300") {
			t.Error("no line reports the number of lines left out")
		}
	})
}

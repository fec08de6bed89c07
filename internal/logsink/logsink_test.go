package logsink

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is an output that nobody reads.
type stuck struct{ free chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.free
	return len(b), nil
}

func TestSlowOutputNeverBlocksAndIsCounted(t *testing.T) {
	out := stuck{free: make(chan struct{})}
	s := NewSink(out)
	const lines = queueLines + 500
	for range lines {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	// One line may be under way.
	if n := s.TakeDropped(); n < 499 || n > 500 {
		t.Errorf("%d lines dropped, want about 500", n)
	}
	close(out.free)
	s.Close()
}

func TestEventBeyondItsRateIsThinnedOutAndSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := NewSink(&out)
		l := slog.New(NewHandler(slog.NewTextHandler(s, nil), s))
		for range linesBurst + 300 {
			l.Info("often", "event", 7)
		}
		l.Info("seldom", "event", 8)
		time.Sleep(time.Second)
		l.Info("often", "event", 7)
		s.Close()
		text := out.String()
		if n := strings.Count(text, "msg=often"); n != linesBurst+1 {
			t.Errorf("%d lines of the frequent event, want %d", n, linesBurst+1)
		}
		if !strings.Contains(text, "msg=seldom") {
			t.Error("another event was thinned out too")
		}
		if !strings.Contains(text, "left_out=300") {
			t.Error("nothing says how many lines were left out")
		}
	})
}

package logsink

import (
	"io"
	"log/slog"
	"testing"
	"time"
)

// logRunStart logs a line with the attributes of a run's start.
func logRunStart(l *slog.Logger, event int) {
	l.Info("run ordered", "event", event, "task", "5c0e7a21d94b36f8.0.1.17", "run", 2000,
		"worker", "i-0287966bd5", "term", 2, "checkpoint", "", "waited", 12*time.Millisecond)
}

func BenchmarkHandler(b *testing.B) {
	for name, perEvent := range map[string]int{"kept": burstLines, "left out": 0} {
		b.Run(name, func(b *testing.B) {
			s := NewSink(io.Discard)
			l := slog.New(NewHandler(slog.NewTextHandler(s, nil), s)).With("node", "front-1")
			if perEvent == 0 {
				for range burstLines + 1 {
					logRunStart(l, 0)
				}
			}
			b.ResetTimer()
			for n := range b.N {
				event := 0
				if perEvent > 0 {
					event = n / perEvent
				}
				logRunStart(l, event)
			}
		})
	}
}

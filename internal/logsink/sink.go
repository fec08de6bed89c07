package logsink

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the maximum number of lines that wait to be written; at 250 bytes a
// line that is 0.5 MB.
const queueLines = 2048

// Sink is an io.Writer that never blocks its caller: lines are dropped and counted
// while the queue is full.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewSink returns a sink that writes to out until it is closed.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.write()
	return s
}

// Write queues a copy of one line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		linesDropped.Inc()
	}
	return len(line), nil
}

// TakeDropped returns the number of lines dropped since its last call.
func (s *Sink) TakeDropped() int64 { return s.dropped.Swap(0) }

// Close writes the queued lines and stops the sink. Write must not be called after
// Close.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	<-s.done
}

func (s *Sink) write() {
	defer close(s.done)
	for line := range s.lines {
		// A failure to write the log can't be logged.
		_, _ = s.out.Write(line)
	}
}

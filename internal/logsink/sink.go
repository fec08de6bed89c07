package logsink

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines may wait for the output; at 250 bytes a line
// that is 0.5 MB.
const queueLines = 2048

// Sink is an io.Writer that never blocks its caller: lines that find the queue
// full are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewSink makes a sink that writes to out until it is closed.
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

// TakeDropped gives the lines dropped since it was last called.
func (s *Sink) TakeDropped() int64 { return s.dropped.Swap(0) }

// Close writes what is queued and ends the sink; nothing may be written after it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	<-s.done
}

func (s *Sink) write() {
	defer close(s.done)
	for line := range s.lines {
		// An output that can't be written to leaves nobody to tell.
		_, _ = s.out.Write(line)
	}
}

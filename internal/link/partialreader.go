package link

import (
	"io"
	"sync/atomic"
)

// partialReadBytes bounds one read. The WebSocket library returns from a read only when all of the
// bytes that it was asked for have arrived.
const partialReadBytes = 8 << 10

// partialReader counts the bytes read of a frame while it arrives.
type partialReader struct {
	from io.Reader
	read *atomic.Int64
}

// Read implements io.Reader.
func (r *partialReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p[:min(len(p), partialReadBytes)])
	r.read.Add(int64(n))
	return n, err
}

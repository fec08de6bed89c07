package admission

import "bytes"

// Limits of the head of a request. Usual servers take heads of 8 KiB and a hundred lines.
const (
	// MaxHeadBytes bounds its size.
	MaxHeadBytes = 16 << 10
	// maxHeadLines bounds its lines, for each of which a decoded head takes far more memory
	// than the line has bytes.
	maxHeadLines = 128
)

// Head counts the bytes and lines of a request's head as they arrive. The zero value waits for
// the first byte.
type Head struct {
	bytes, lines int
	// started says that the current line has a byte other than a carriage return.
	started, complete bool
}

// Add counts the next bytes and reports whether the head is within its limits. What follows the
// end of the head does not count.
func (h *Head) Add(p []byte) bool {
	for len(p) > 0 && !h.complete {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		h.bytes += len(p) - len(rest)
		h.started = h.started || len(bytes.Trim(line, "\r")) > 0
		if ended {
			h.complete = !h.started
			h.started = false
			h.lines++
		}
		p = rest
	}
	return h.bytes <= MaxHeadBytes && h.lines <= maxHeadLines
}

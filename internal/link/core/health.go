package core

import "time"

// Health is what a link knew of its peer and of its own process when it was closed.
type Health struct {
	// Age is the time since the link was opened, LastFrame that since a whole frame was received and
	// LastBytes that since anything was seen to arrive.
	Age       time.Duration
	LastFrame time.Duration
	LastBytes time.Duration
	// QueuedBytes is the payload that waits to be sent.
	QueuedBytes int
	// CheckLate is how late this process checked the link at most since the last whole frame.
	CheckLate time.Duration
}

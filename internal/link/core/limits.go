package core

import "time"

// Limits bounds one link.
type Limits struct {
	// BeatEvery is the time between heartbeats.
	BeatEvery time.Duration
	// SilentAfter is how long the other side may give no sign of life.
	SilentAfter time.Duration
	// IdleAfter is how long a link without calls is kept.
	IdleAfter time.Duration
	// OpenCalls is the most calls open at once.
	OpenCalls int
	// QueueBytes is the most payload waiting to be sent.
	QueueBytes int
	// MessageBytes is the longest request or answer.
	MessageBytes int
	// AssemblyBytes is the most payload held of messages that aren't whole yet.
	AssemblyBytes int
}

// DefaultLimits gives the limits used when none are set.
func DefaultLimits() Limits {
	return Limits{
		BeatEvery:     time.Second,
		SilentAfter:   3 * time.Second,
		IdleAfter:     time.Minute,
		OpenCalls:     4096,
		QueueBytes:    16 << 20,
		MessageBytes:  8 << 20,
		AssemblyBytes: 32 << 20,
	}
}

// WithDefaults fills in zero fields.
func (l Limits) WithDefaults() Limits {
	d := DefaultLimits()
	if l.BeatEvery == 0 {
		l.BeatEvery = d.BeatEvery
	}
	if l.SilentAfter == 0 {
		l.SilentAfter = d.SilentAfter
	}
	if l.IdleAfter == 0 {
		l.IdleAfter = d.IdleAfter
	}
	if l.OpenCalls == 0 {
		l.OpenCalls = d.OpenCalls
	}
	if l.QueueBytes == 0 {
		l.QueueBytes = d.QueueBytes
	}
	if l.MessageBytes == 0 {
		l.MessageBytes = d.MessageBytes
	}
	if l.AssemblyBytes == 0 {
		l.AssemblyBytes = d.AssemblyBytes
	}
	return l
}

package core

import "time"

// Limits bounds one link.
type Limits struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long the other side may give no sign of life.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a link without calls is kept.
	IdleTimeout time.Duration
	// MaxOpenCalls is the most calls open at once.
	MaxOpenCalls int
	// MaxQueueBytes is the most payload waiting to be sent.
	MaxQueueBytes int
	// MaxMessageBytes is the longest request or answer.
	MaxMessageBytes int
	// MaxAssemblyBytes is the most payload held of messages that aren't whole yet.
	MaxAssemblyBytes int
}

// DefaultLimits gives the limits used when none are set.
func DefaultLimits() Limits {
	return Limits{
		HeartbeatInterval: time.Second,
		SilenceTimeout:    3 * time.Second,
		IdleTimeout:       time.Minute,
		MaxOpenCalls:      4096,
		MaxQueueBytes:     16 << 20,
		MaxMessageBytes:   8 << 20,
		MaxAssemblyBytes:  32 << 20,
	}
}

// WithDefaults fills in zero fields.
func (l Limits) WithDefaults() Limits {
	d := DefaultLimits()
	if l.HeartbeatInterval == 0 {
		l.HeartbeatInterval = d.HeartbeatInterval
	}
	if l.SilenceTimeout == 0 {
		l.SilenceTimeout = d.SilenceTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = d.IdleTimeout
	}
	if l.MaxOpenCalls == 0 {
		l.MaxOpenCalls = d.MaxOpenCalls
	}
	if l.MaxQueueBytes == 0 {
		l.MaxQueueBytes = d.MaxQueueBytes
	}
	if l.MaxMessageBytes == 0 {
		l.MaxMessageBytes = d.MaxMessageBytes
	}
	if l.MaxAssemblyBytes == 0 {
		l.MaxAssemblyBytes = d.MaxAssemblyBytes
	}
	return l
}

package core

import "time"

// Limits are the timeouts and bounds of one link.
type Limits struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long nothing may be received before the link is closed. A
	// process that checks its links late counts at most two tick intervals a check.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a link without open calls is kept.
	IdleTimeout time.Duration
	// MaxRedialWait bounds the wait for the next dial after links that opened and carried
	// nothing.
	MaxRedialWait time.Duration
	// MaxOpenCalls bounds the calls that are open at the same time.
	MaxOpenCalls int
	// MaxQueueBytes bounds the payload that waits to be sent.
	MaxQueueBytes int
	// MaxMessageBytes bounds the length of a request or answer.
	MaxMessageBytes int
	// MaxAssemblyBytes bounds the payload held of messages that are not complete yet.
	MaxAssemblyBytes int
}

// DefaultLimits returns the limits that apply where none are set.
func DefaultLimits() Limits {
	return Limits{
		HeartbeatInterval: time.Second,
		SilenceTimeout:    3 * time.Second,
		IdleTimeout:       time.Minute,
		MaxRedialWait:     4 * time.Second,
		MaxOpenCalls:      4096,
		MaxQueueBytes:     16 << 20,
		MaxMessageBytes:   8 << 20,
		MaxAssemblyBytes:  32 << 20,
	}
}

// WithDefaults returns l with its zero fields set to the defaults.
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
	if l.MaxRedialWait == 0 {
		l.MaxRedialWait = d.MaxRedialWait
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

// ticksPerHeartbeat is the number of Tick events per heartbeat interval.
const ticksPerHeartbeat = 2

// TickInterval returns the time after which the next Tick event is due.
func (l Limits) TickInterval() time.Duration { return l.HeartbeatInterval / ticksPerHeartbeat }

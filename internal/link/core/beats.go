package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
)

// beats sends heartbeats and judges whether the other side lives. Each beat
// echoes the highest number received, so a link on which only one direction
// works is found out too.
type beats struct {
	limits   Limits
	sent     uint64
	echoed   uint64
	received uint64
	// due is when the next beat goes out.
	due time.Time
	// heard is when the last frame came in.
	heard time.Time
	// unechoed is when the oldest beat without an echo was sent.
	unechoed time.Time
}

func newBeats(now time.Time, l Limits) beats {
	return beats{limits: l, due: now, heard: now}
}

// next gives a heartbeat when one is due.
func (b *beats) next(now time.Time) (frame.Frame, bool) {
	if now.Before(b.due) {
		return frame.Frame{}, false
	}
	b.due = now.Add(b.limits.HeartbeatInterval)
	if b.sent == b.echoed {
		b.unechoed = now
	}
	b.sent++
	return frame.Frame{Type: frame.Heartbeat, Call: b.sent, Offset: b.received}, true
}

func (b *beats) onFrame(now time.Time, f *frame.Frame) {
	b.heard = now
	if f.Type != frame.Heartbeat {
		return
	}
	b.received = max(b.received, f.Call)
	if f.Offset > b.echoed && f.Offset <= b.sent {
		b.echoed = f.Offset
		b.unechoed = now
	}
}

// silent gives the reason why the link is to be closed, or "".
func (b *beats) silent(now time.Time) string {
	if now.Sub(b.heard) >= b.limits.SilenceTimeout {
		return "nothing received"
	}
	if b.sent > b.echoed && now.Sub(b.unechoed) >= b.limits.SilenceTimeout+b.limits.HeartbeatInterval {
		return "heartbeats not echoed"
	}
	return ""
}

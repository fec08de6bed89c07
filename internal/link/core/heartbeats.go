package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
)

// heartbeats produces a link's heartbeats and detects a silent peer. Each
// heartbeat echoes the highest number received, so that a link that works in only
// one direction is detected as well.
type heartbeats struct {
	limits Limits
	// sent and received are the highest heartbeat numbers sent and received, echoed
	// is the highest number sent that the peer has echoed.
	sent     uint64
	echoed   uint64
	received uint64
	// nextDue is when the next heartbeat is sent.
	nextDue time.Time
	// lastCheck is when the peer's silence was last checked.
	lastCheck time.Time
	// unheard is the time without a frame of the peer.
	unheard silence
	// unechoed is the time since the oldest heartbeat without an echo was sent, or
	// since the latest echo was received if that is shorter.
	unechoed silence
}

func newHeartbeats(now time.Time, l Limits) heartbeats {
	return heartbeats{limits: l, nextDue: now, lastCheck: now, unheard: silence{since: now}}
}

// next returns a heartbeat if one is due.
func (h *heartbeats) next(now time.Time) (frame.Frame, bool) {
	if now.Before(h.nextDue) {
		return frame.Frame{}, false
	}
	h.nextDue = now.Add(h.limits.HeartbeatInterval)
	if h.sent == h.echoed {
		h.unechoed.end(now)
	}
	h.sent++
	return frame.Frame{Type: frame.Heartbeat, Call: h.sent, Offset: h.received}, true
}

func (h *heartbeats) onFrame(now time.Time, f *frame.Frame) {
	h.unheard.end(now)
	if f.Type != frame.Heartbeat {
		return
	}
	h.received = max(h.received, f.Call)
	if f.Offset > h.echoed && f.Offset <= h.sent {
		h.echoed = f.Offset
		h.unechoed.end(now)
	}
}

// check is called at each Tick. It returns why the link must be closed, or "" if the
// peer is not silent.
func (h *heartbeats) check(now time.Time) string {
	tick := h.limits.TickInterval()
	h.unheard.extend(now, h.lastCheck, tick)
	h.unechoed.extend(now, h.lastCheck, tick)
	h.lastCheck = now
	if h.unheard.counted >= h.limits.SilenceTimeout {
		return "nothing received"
	}
	if h.sent > h.echoed && h.unechoed.counted >= h.limits.SilenceTimeout+h.limits.HeartbeatInterval {
		return "heartbeats not echoed"
	}
	return ""
}

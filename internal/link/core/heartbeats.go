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
	// lastReceived is when the last frame was received.
	lastReceived time.Time
	// unechoedSince is when the oldest heartbeat without an echo was sent, or when
	// the latest echo was received if that is later.
	unechoedSince time.Time
}

func newHeartbeats(now time.Time, l Limits) heartbeats {
	return heartbeats{limits: l, nextDue: now, lastReceived: now}
}

// next returns a heartbeat if one is due.
func (h *heartbeats) next(now time.Time) (frame.Frame, bool) {
	if now.Before(h.nextDue) {
		return frame.Frame{}, false
	}
	h.nextDue = now.Add(h.limits.HeartbeatInterval)
	if h.sent == h.echoed {
		h.unechoedSince = now
	}
	h.sent++
	return frame.Frame{Type: frame.Heartbeat, Call: h.sent, Offset: h.received}, true
}

func (h *heartbeats) onFrame(now time.Time, f *frame.Frame) {
	h.lastReceived = now
	if f.Type != frame.Heartbeat {
		return
	}
	h.received = max(h.received, f.Call)
	if f.Offset > h.echoed && f.Offset <= h.sent {
		h.echoed = f.Offset
		h.unechoedSince = now
	}
}

// checkSilence returns why the link must be closed, or "" if the peer is not silent.
func (h *heartbeats) checkSilence(now time.Time) string {
	if now.Sub(h.lastReceived) >= h.limits.SilenceTimeout {
		return "nothing received"
	}
	if h.sent > h.echoed && now.Sub(h.unechoedSince) >= h.limits.SilenceTimeout+h.limits.HeartbeatInterval {
		return "heartbeats not echoed"
	}
	return ""
}

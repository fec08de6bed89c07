package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
)

// slowPathFactor multiplies the silence timeout to bound the time that a frame may take to arrive, and an
// echo behind the peer's data.
const slowPathFactor = 4

// heartbeats produces a link's heartbeats and detects a silent peer. Each
// heartbeat echoes the highest number received, so that a link that works in only
// one direction is detected as well.
type heartbeats struct {
	limits Limits
	opened time.Time
	// sent and received are the highest heartbeat numbers sent and received, echoed
	// is the highest number sent that the peer has echoed.
	sent     uint64
	echoed   uint64
	received uint64
	// nextDue is when the next heartbeat is sent.
	nextDue time.Time
	// lastCheck is when the peer's silence was last checked, checkLate how late a check
	// was at most since the last frame.
	lastCheck time.Time
	checkLate time.Duration
	// unheard is the time without a byte of the peer, unfinished that without a whole frame.
	unheard    silence
	unfinished silence
	// partialBytes is what had been read of an unfinished frame at the last check.
	partialBytes int
	// unechoed is the time since the oldest heartbeat without an echo was sent, or
	// since the latest echo was received if that is shorter.
	unechoed silence
	// withoutEcho counts the heartbeats received in that time.
	withoutEcho int
}

func newHeartbeats(now time.Time, l Limits) heartbeats {
	return heartbeats{limits: l, opened: now, nextDue: now, lastCheck: now, unheard: silence{since: now}, unfinished: silence{since: now}}
}

// next returns a heartbeat if one is due.
func (h *heartbeats) next(now time.Time) (frame.Frame, bool) {
	if now.Before(h.nextDue) {
		return frame.Frame{}, false
	}
	h.nextDue = now.Add(h.limits.HeartbeatInterval)
	if h.sent == h.echoed {
		h.awaitEcho(now)
	}
	h.sent++
	return frame.Frame{Type: frame.Heartbeat, Call: h.sent, Offset: h.received}, true
}

func (h *heartbeats) awaitEcho(now time.Time) {
	h.unechoed.end(now)
	h.withoutEcho = 0
}

func (h *heartbeats) onFrame(now time.Time, f *frame.Frame) {
	h.unheard.end(now)
	h.unfinished.end(now)
	h.partialBytes, h.checkLate = 0, 0
	if f.Type != frame.Heartbeat {
		return
	}
	if f.Call > h.received {
		h.received = f.Call
		h.withoutEcho++
	}
	if f.Offset > h.echoed && f.Offset <= h.sent {
		h.echoed = f.Offset
		h.awaitEcho(now)
	}
}

// worked returns the time from the opening of the link to the last frame received.
func (h *heartbeats) worked() time.Duration { return h.unfinished.since.Sub(h.opened) }

// check is called at each Tick with what has been read of an unfinished frame. It returns
// why the link must be closed, or "" if the peer is not silent.
func (h *heartbeats) check(now time.Time, partialBytes int) string {
	h.measure(now, partialBytes)
	switch {
	case h.unheard.counted >= h.limits.SilenceTimeout:
		return "nothing received"
	case h.unfinished.counted >= slowPathFactor*h.limits.SilenceTimeout:
		return "no whole frame received"
	case h.echoMissing():
		return "heartbeats not echoed"
	}
	return ""
}

// measure counts the time since the last check.
func (h *heartbeats) measure(now time.Time, partialBytes int) {
	tick := h.limits.TickInterval()
	h.checkLate = max(h.checkLate, now.Sub(h.lastCheck)-tick)
	h.unheard.extend(now, h.lastCheck, tick)
	h.unfinished.extend(now, h.lastCheck, tick)
	h.unechoed.extend(now, h.lastCheck, tick)
	if partialBytes != h.partialBytes {
		h.unheard.end(now)
		h.partialBytes = partialBytes
	}
	h.lastCheck = now
}

// echoMissing reports that the peer does not receive this side's heartbeats. Its own
// heartbeats must have come without the echo, unless it takes very long: they may wait behind its data.
func (h *heartbeats) echoMissing() bool {
	if h.sent == h.echoed || h.unechoed.counted < h.limits.SilenceTimeout+h.limits.HeartbeatInterval {
		return false
	}
	due := int(h.limits.SilenceTimeout / h.limits.HeartbeatInterval)
	return h.withoutEcho >= due || h.unechoed.counted >= slowPathFactor*h.limits.SilenceTimeout
}

// health returns what is known of the link, of which some payload waits to be sent.
func (h *heartbeats) health(now time.Time, queuedBytes int) Health {
	return Health{
		Age: now.Sub(h.opened), LastFrame: now.Sub(h.unfinished.since), LastBytes: now.Sub(h.unheard.since),
		QueuedBytes: queuedBytes, CheckLate: h.checkLate,
	}
}

package link

import (
	"slices"
	"strings"
	"sync/atomic"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// ByteCount is the number of bytes sent and received in calls of one kind.
type ByteCount struct {
	// Kind is the name of a wire.Kind, or "link" for heartbeats and other control frames.
	Kind string
	// CrossRegion reports that the peer is in another region.
	CrossRegion   bool
	SentBytes     uint64
	ReceivedBytes uint64
}

// kindSlots bounds the kinds that are counted separately. Kinds with a number of
// kindSlots or more are counted in slot 0.
const kindSlots = 32

// traffic counts the bytes of one slot in both directions.
type traffic struct{ sent, received atomic.Uint64 }

// counters counts bytes, separately for links within a region (index 0) and links
// between regions (index 1), by slot. Slot 0 is for control frames, the others are
// for the kind of the same number.
type counters struct{ traffic [2][kindSlots]traffic }

func slotOf(f *frame.Frame) int {
	switch f.Type {
	case frame.Request, frame.Response, frame.HandlerError:
		if int(f.Kind) < kindSlots {
			return int(f.Kind)
		}
	}
	return 0
}

func slotName(slot int) string {
	if slot == 0 {
		return "link"
	}
	return wire.Kind(slot).String()
}

func (c *counters) at(cross bool, slot int) *traffic {
	if cross {
		return &c.traffic[1][slot]
	}
	return &c.traffic[0][slot]
}

func (c *counters) sent(f *frame.Frame, cross bool, n int) {
	slot := slotOf(f)
	c.at(cross, slot).sent.Add(uint64(n))
	metricsBySlot[slot].sent.Add(n)
	if cross {
		metricsBySlot[slot].sentCrossRegion.Add(n)
	}
}

func (c *counters) received(f *frame.Frame, cross bool, n int) {
	slot := slotOf(f)
	c.at(cross, slot).received.Add(uint64(n))
	metricsBySlot[slot].received.Add(n)
	if cross {
		metricsBySlot[slot].receivedCrossRegion.Add(n)
	}
}

// list returns the counts that are not zero, sorted by the name of the kind; those
// within the region come first.
func (c *counters) list() []ByteCount {
	var out []ByteCount
	for slot := range kindSlots {
		for _, cross := range []bool{false, true} {
			t := c.at(cross, slot)
			n := ByteCount{
				Kind: slotName(slot), CrossRegion: cross,
				SentBytes: t.sent.Load(), ReceivedBytes: t.received.Load(),
			}
			if n.SentBytes+n.ReceivedBytes > 0 {
				out = append(out, n)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b ByteCount) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}

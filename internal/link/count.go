package link

import (
	"slices"
	"strings"
	"sync/atomic"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// ByteCount is the traffic of one kind of call.
type ByteCount struct {
	// Kind is a wire.Kind's name, or "link" for heartbeats and other control frames.
	Kind string
	// CrossRegion says that the other side is in another region.
	CrossRegion   bool
	SentBytes     uint64
	ReceivedBytes uint64
}

// kindSlots bounds the kinds that are counted apart.
const kindSlots = 16

// traffic is the two directions of one kind.
type traffic struct{ sent, received atomic.Uint64 }

// counters counts bytes by kind and by whether they cross a region's border.
// Slot 0 holds control frames.
type counters struct{ cells [2][kindSlots]traffic }

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
		return &c.cells[1][slot]
	}
	return &c.cells[0][slot]
}

func (c *counters) sent(f *frame.Frame, cross bool, n int) {
	slot := slotOf(f)
	c.at(cross, slot).sent.Add(uint64(n))
	slotMetrics[slot].sent.Add(n)
	if cross {
		slotMetrics[slot].sentCross.Add(n)
	}
}

func (c *counters) received(f *frame.Frame, cross bool, n int) {
	slot := slotOf(f)
	c.at(cross, slot).received.Add(uint64(n))
	slotMetrics[slot].received.Add(n)
	if cross {
		slotMetrics[slot].receivedCross.Add(n)
	}
}

// list gives what is not zero, by kind and then own region first.
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

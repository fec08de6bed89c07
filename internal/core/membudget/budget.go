package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Budget counts the memory of holders. It is not safe for concurrent use.
type Budget struct {
	limits  Limits
	holders map[ID]*holder
	// bytes is what all holders hold, largeBytes what those hold that are not small.
	bytes, largeBytes int
}

type holder struct {
	id    ID
	bytes int
	// progressed is when the holder last claimed or released memory.
	progressed time.Time
	pinned     bool
}

// New returns a budget without holders.
func New(l Limits) *Budget { return &Budget{limits: l, holders: make(map[ID]*holder)} }

// Bytes returns what all holders hold together.
func (b *Budget) Bytes() int { return b.bytes }

// Claim asks for n more bytes for a holder, which need not exist yet. Its progress counts only
// if the claim is granted.
func (b *Budget) Claim(now time.Time, id ID, n int) Decision {
	victims, ok := b.victims(now, id, n)
	if !ok {
		return Decision{}
	}
	for _, v := range victims {
		b.Remove(v)
	}
	h := b.holders[id]
	if h == nil {
		h = &holder{id: id}
		b.holders[id] = h
	}
	h.progressed = now
	b.resize(h, h.bytes+n)
	return Decision{Granted: true, Evicted: victims}
}

// Release returns n bytes of a holder, if it is still counted.
func (b *Budget) Release(now time.Time, id ID, n int) {
	if h := b.holders[id]; h != nil {
		h.progressed = now
		b.resize(h, max(h.bytes-n, 0))
	}
}

// Pin protects a holder from eviction.
func (b *Budget) Pin(id ID) {
	if h := b.holders[id]; h != nil {
		h.pinned = true
	}
}

// Remove removes a holder, if it is still counted.
func (b *Budget) Remove(id ID) {
	if h := b.holders[id]; h != nil {
		b.resize(h, 0)
		delete(b.holders, id)
	}
}

func (b *Budget) resize(h *holder, bytes int) {
	b.bytes += bytes - h.bytes
	b.largeBytes += b.largePart(bytes) - b.largePart(h.bytes)
	h.bytes = bytes
}

// largePart returns what of a holder's memory may not come from the reserve.
func (b *Budget) largePart(bytes int) int {
	if bytes <= b.limits.SmallBytes {
		return 0
	}
	return bytes
}

// victims returns the holders to evict so that a claim fits, or false if it doesn't.
func (b *Budget) victims(now time.Time, id ID, n int) (out []ID, ok bool) {
	held := 0
	if h := b.holders[id]; h != nil {
		held = h.bytes
	}
	large := b.largePart(held + n)
	bytes, largeBytes := b.bytes+n, b.largeBytes-b.largePart(held)+large
	isAlone := func() bool { return large > 0 && largeBytes == large && large <= b.limits.LoneBytes }
	fitsLarge := func() bool { return large == 0 || largeBytes <= b.limits.Bytes-b.limits.ReserveBytes }
	fits := func() bool { return isAlone() || fitsLarge() && bytes <= b.limits.Bytes }
	if fits() {
		return nil, true
	}
	for _, h := range b.stalled(now, id) {
		if !fitsLarge() && b.largePart(h.bytes) == 0 {
			continue
		}
		out = append(out, h.id)
		bytes -= h.bytes
		largeBytes -= b.largePart(h.bytes)
		if fits() {
			return out, true
		}
	}
	return nil, false
}

// stalled returns the holders other than id that may be evicted, the first one first: they are
// ordered by what they hold times how long they have made no progress.
func (b *Budget) stalled(now time.Time, id ID) []*holder {
	var out []*holder
	for _, h := range b.holders {
		if h.id != id && !h.pinned && h.bytes > 0 && now.Sub(h.progressed) >= b.limits.StallTime {
			out = append(out, h)
		}
	}
	weight := func(h *holder) float64 { return float64(h.bytes) * now.Sub(h.progressed).Seconds() }
	slices.SortFunc(out, func(x, y *holder) int {
		return cmp.Or(cmp.Compare(weight(y), weight(x)), cmp.Compare(x.id, y.id))
	})
	return out
}

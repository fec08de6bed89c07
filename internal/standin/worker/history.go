package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// ended is a numbered ending.
type ended struct {
	num    uint64
	at     time.Time
	cell   model.CellID
	ending platform.Ending
}

// history keeps recent endings, oldest first, bounded by age, number and bytes.
type history struct {
	keep  time.Duration
	list  []*ended
	byID  map[model.LeaseID]*ended
	bytes int
	last  uint64
	// whole is since when no ending has been dropped.
	whole time.Time
}

func newHistory(keep time.Duration, now time.Time) *history {
	return &history{keep: keep, byID: make(map[model.LeaseID]*ended), whole: now}
}

func (h *history) add(e *ended) {
	h.last++
	e.num = h.last
	h.list = append(h.list, e)
	h.byID[e.ending.Lease] = e
	h.bytes += len(e.ending.Answer)
	for len(h.list) > defaultMaxEnded || h.bytes > maxEndedBytes {
		h.dropOldest()
	}
}

func (h *history) advance(now time.Time) {
	for len(h.list) > 0 && now.Sub(h.list[0].at) > h.keep {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	e := h.list[0]
	h.list[0] = nil
	h.list = h.list[1:]
	delete(h.byID, e.ending.Lease)
	h.bytes -= len(e.ending.Answer)
	if e.at.After(h.whole) {
		h.whole = e.at
	}
}

// reach gives how far back the history is whole.
func (h *history) reach(now time.Time) time.Duration {
	return min(now.Sub(h.whole), h.keep)
}

// after gives a cell's endings numbered above ack.
func (h *history) after(cell model.CellID, ack uint64) []platform.Ending {
	out := []platform.Ending{}
	for _, e := range h.list {
		if e.num > ack && e.cell == cell {
			out = append(out, e.ending)
		}
	}
	return out
}

func (h *history) inScope(s model.Scope) []platform.Ending {
	out := []platform.Ending{}
	for _, e := range h.list {
		if inScope(s, e.cell, e.ending.Label.Group) {
			out = append(out, e.ending)
		}
	}
	return out
}

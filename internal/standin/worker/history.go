package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// numberedEnding is an ending with its number and time.
type numberedEnding struct {
	num    uint64
	at     time.Time
	cell   model.CellID
	ending platform.Ending
}

// history holds recent endings, oldest first, limited by age, number and bytes.
type history struct {
	retention time.Duration
	list      []*numberedEnding
	byID      map[model.LeaseID]*numberedEnding
	bytes     int
	lastNum   uint64
	// completeSince is the time since which no ending has been dropped.
	completeSince time.Time
}

func newHistory(retention time.Duration, now time.Time) *history {
	return &history{retention: retention, byID: make(map[model.LeaseID]*numberedEnding), completeSince: now}
}

func (h *history) add(e *numberedEnding) {
	h.lastNum++
	e.num = h.lastNum
	h.list = append(h.list, e)
	h.byID[e.ending.Lease] = e
	h.bytes += len(e.ending.Answer)
	for len(h.list) > maxEnded || h.bytes > maxEndedBytes {
		h.dropOldest()
	}
}

func (h *history) advance(now time.Time) {
	for len(h.list) > 0 && now.Sub(h.list[0].at) > h.retention {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	e := h.list[0]
	h.list[0] = nil
	h.list = h.list[1:]
	delete(h.byID, e.ending.Lease)
	h.bytes -= len(e.ending.Answer)
	if e.at.After(h.completeSince) {
		h.completeSince = e.at
	}
}

// coverage returns how far back the history is complete.
func (h *history) coverage(now time.Time) time.Duration {
	return min(now.Sub(h.completeSince), h.retention)
}

// endingsAfter returns a cell's endings with numbers above ack.
func (h *history) endingsAfter(cell model.CellID, ack uint64) []platform.Ending {
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

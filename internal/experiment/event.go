package experiment

import (
	"time"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
)

// event is something due at a time. Exactly one of its fields says what.
type event struct {
	at  time.Time
	seq uint64

	submit  *Job
	attempt int
	tick    bool
	core    placement.Event
	// end is the lease whose task comes to its end, if its plan is still ends.
	end  model.LeaseID
	plan int
	// sample is the lease whose task's use is measured.
	sample model.LeaseID
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

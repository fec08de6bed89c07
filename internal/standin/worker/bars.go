package worker

import (
	"time"

	"coltsfootmux/internal/model"
)

// bar says of a lease id that must not be used again whether its task was started.
type bar struct{ started bool }

// bars remembers lease ids that were released, lapsed or ended, each for the
// same length of time.
type bars struct {
	keep  time.Duration
	byID  map[model.LeaseID]bar
	queue []barred
}

type barred struct {
	id model.LeaseID
	at time.Time
}

func newBars(keep time.Duration) *bars {
	return &bars{keep: keep, byID: make(map[model.LeaseID]bar)}
}

// full says that no further id can be barred for now.
func (b *bars) full() bool { return len(b.queue) >= defaultMaxBars }

func (b *bars) add(id model.LeaseID, started bool, now time.Time) {
	if _, ok := b.byID[id]; ok {
		return
	}
	b.byID[id] = bar{started: started}
	b.queue = append(b.queue, barred{id, now})
}

func (b *bars) get(id model.LeaseID) (bar, bool) {
	got, ok := b.byID[id]
	return got, ok
}

func (b *bars) advance(now time.Time) {
	for len(b.queue) > 0 && now.Sub(b.queue[0].at) > b.keep {
		delete(b.byID, b.queue[0].id)
		b.queue = b.queue[1:]
	}
}

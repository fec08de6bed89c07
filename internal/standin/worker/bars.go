package worker

import (
	"time"

	"coltsfootmux/internal/model"
)

// barredLease says of a lease id that must not be used again whether its task was started.
type barredLease struct{ started bool }

// barredLeases holds the ids of leases that were released, expired or ended, each
// for the same length of time.
type barredLeases struct {
	retention time.Duration
	byID      map[model.LeaseID]barredLease
	queue     []barEntry
}

type barEntry struct {
	id model.LeaseID
	at time.Time
}

func newBarredLeases(retention time.Duration) *barredLeases {
	return &barredLeases{retention: retention, byID: make(map[model.LeaseID]barredLease)}
}

// full reports whether no further id can be barred for now.
func (b *barredLeases) full() bool { return len(b.queue) >= maxBarredLeases }

func (b *barredLeases) add(id model.LeaseID, started bool, now time.Time) {
	if _, ok := b.byID[id]; ok {
		return
	}
	b.byID[id] = barredLease{started: started}
	b.queue = append(b.queue, barEntry{id, now})
}

func (b *barredLeases) get(id model.LeaseID) (barredLease, bool) {
	got, ok := b.byID[id]
	return got, ok
}

func (b *barredLeases) advance(now time.Time) {
	for len(b.queue) > 0 && now.Sub(b.queue[0].at) > b.retention {
		delete(b.byID, b.queue[0].id)
		b.queue = b.queue[1:]
	}
}

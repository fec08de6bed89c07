package journal

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// queue is the state of one stream. At most one call is open for it, so that its
// records keep their order.
type queue struct {
	stream platform.Stream
	// active says that it is among the Writer's active queues.
	active bool
	// pending holds what is still to be sent, and the places of dead items.
	pending []*item
	dead    int
	bytes   int
	// due is the earliest due time of what is pending.
	due    time.Time
	flight []*item
	phase  phase
	// check says that flight may be on the log, and its tail must be read.
	check bool
	// next is the offset below which none of flight can be; 0 for not known.
	next      model.Offset
	failures  int
	notBefore time.Time
	// single counts appends still to be made of one record each, after a batch
	// was refused for one of its records.
	single int
}

// waiting gives how many records are pending.
func (q *queue) waiting() int { return len(q.pending) - q.dead }

func (q *queue) push(it *item) {
	if q.waiting() == 0 || it.due.Before(q.due) {
		q.due = it.due
	}
	q.pending = append(q.pending, it)
	q.bytes += it.size()
}

// drop takes a pending item out. Its place is freed once half of them are dead,
// which keeps the cost of one drop constant on the average.
func (q *queue) drop(it *item) {
	q.bytes -= it.size()
	q.dead++
	it.gone = true
	it.record = platform.Record{}
	if q.dead*2 > len(q.pending) {
		q.pending = slices.DeleteFunc(q.pending, func(p *item) bool { return p.gone })
		q.dead = 0
	}
}

// requeue puts what was in flight, less what nobody wants, back in front.
func (q *queue) requeue() {
	back := make([]*item, 0, len(q.flight)+len(q.pending))
	for _, it := range q.flight {
		it.flying = false
		if it.gone {
			continue
		}
		back = append(back, it)
		q.bytes += it.size()
	}
	q.pending = append(back, q.pending...)
	q.flight = nil
	q.check = false
	q.setDue()
}

// batch moves as many items as go into one append from pending to flight.
func (q *queue) batch(cfg Config) []platform.Record {
	limit, most := cfg.BatchRecords, cfg.BatchBytes
	if q.single > 0 {
		q.single--
		limit = 1
	}
	if q.failures > 0 {
		most = min(most, cfg.ProbeBytes)
	}
	var recs []platform.Record
	n, size := 0, 0
	for _, it := range q.pending {
		full := len(recs) >= limit || len(recs) > 0 && size+it.size() > most
		if !it.gone && full {
			break
		}
		n++
		if it.gone {
			q.dead--
			continue
		}
		size += it.size()
		it.flying = true
		q.flight = append(q.flight, it)
		recs = append(recs, it.record)
	}
	clear(q.pending[:n])
	q.pending = q.pending[n:]
	q.bytes -= size
	q.setDue()
	return recs
}

// setDue finds the earliest due time of what is pending.
func (q *queue) setDue() {
	q.due = time.Time{}
	for _, it := range q.pending {
		if !it.gone && (q.due.IsZero() || it.due.Before(q.due)) {
			q.due = it.due
		}
	}
}

// ready gives when the queue's next call may be made, and whether it has any.
func (q *queue) ready() (time.Time, bool) {
	switch {
	case q.phase != idle:
		return time.Time{}, false
	case q.check:
		return q.notBefore, true
	case q.waiting() == 0:
		return time.Time{}, false
	}
	return later(q.due, q.notBefore), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

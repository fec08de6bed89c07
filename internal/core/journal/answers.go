package journal

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// located takes in where a stream's head is. After an offset expired, the tail
// is read again from the oldest that is left.
func (w *Writer) located(now time.Time, ev Located) {
	q := w.queue(ev.Stream)
	if q.phase != locating {
		return
	}
	q.phase = idle
	if ev.Failure != FailNone {
		w.failed(now, q, ev.Jitter)
		return
	}
	q.failures = 0
	q.next = max(ev.Bounds.Next, 1)
	if q.check {
		q.next = max(ev.Bounds.Oldest, 1)
	}
}

func (w *Writer) appended(now time.Time, ev Appended) {
	q := w.queue(ev.Stream)
	if q.phase != appending {
		return
	}
	q.phase = idle
	switch ev.Failure {
	case FailNone:
		w.budget.regain()
		if anySent(q.flight) {
			// An earlier append of these records may have arrived late and come first.
			q.check = true
			return
		}
		w.recorded(q, ev.First)
	case FailUnclear:
		// The tail is read at once: a lost answer costs no backoff.
		markSent(q.flight)
		q.check = true
	case FailRefused:
		w.single(q)
	case FailThrottled:
		w.budget.slow()
		q.requeue()
		q.notBefore = now.Add(w.cfg.Backoff.After(1, ev.Jitter))
	default:
		q.requeue()
		w.failed(now, q, ev.Jitter)
	}
}

func markSent(items []*item) {
	for _, it := range items {
		it.sent = true
	}
}

func anySent(items []*item) bool {
	for _, it := range items {
		if it.sent {
			return true
		}
	}
	return false
}

func (w *Writer) recorded(q *queue, first model.Offset) {
	for i, it := range q.flight {
		w.answer(it, Answer{Result: Recorded, Offset: first + model.Offset(i)})
	}
	q.next = first + model.Offset(len(q.flight))
	q.flight = nil
	q.failures = 0
}

// single finds the record that the log will not take by sending each alone.
func (w *Writer) single(q *queue) {
	if len(q.flight) > 1 {
		q.single = len(q.flight)
		q.requeue()
		return
	}
	for _, it := range q.flight {
		w.answer(it, Answer{Result: RefusedByLog})
	}
	q.flight = nil
}

// tailRead looks for what is in flight in a page of the stream's tail.
func (w *Writer) tailRead(now time.Time, ev TailRead) {
	q := w.queue(ev.Stream)
	if q.phase != checking {
		return
	}
	q.phase = idle
	switch {
	case ev.Failure == FailExpired:
		q.next = 0
	case ev.Failure != FailNone:
		w.failed(now, q, ev.Jitter)
	case len(ev.Entries) == 0:
		// The records are not there. They may still arrive late and then be there
		// twice, which readers notice by their ids.
		q.requeue()
		w.failed(now, q, ev.Jitter)
	default:
		w.found(q, ev)
	}
}

func (w *Writer) found(q *queue, ev TailRead) {
	at := firstPlaces(ev.Entries)
	q.next = ev.Entries[len(ev.Entries)-1].Offset + 1
	var missing []*item
	for _, it := range q.flight {
		offset, ok := at[it.record.ID]
		if !ok {
			missing = append(missing, it)
			continue
		}
		w.answer(it, Answer{Result: Recorded, Offset: offset})
	}
	q.flight = missing
	if len(missing) == 0 {
		q.check = false
		q.failures = 0
	}
}

// firstPlaces gives the offset of each record where it comes first, which is
// the one that readers go by.
func firstPlaces(es []platform.Entry) map[string]model.Offset {
	at := make(map[string]model.Offset, len(es))
	for _, e := range es {
		if _, ok := at[e.Record.ID]; !ok {
			at[e.Record.ID] = e.Offset
		}
	}
	return at
}

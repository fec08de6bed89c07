package journal

import "time"

// dispatch makes the calls that may be made now: of the queues that are ready,
// the one that has waited longest goes first.
func (w *Writer) dispatch(now time.Time) {
	for {
		q := w.first(now)
		if q == nil {
			return
		}
		switch {
		case q.next == 0:
			q.phase = locating
			w.do(Locate{Stream: q.stream})
		case q.check:
			q.phase = checking
			w.do(ReadTail{Stream: q.stream, From: q.next})
		default:
			w.budget.take()
			q.phase = appending
			w.do(Append{Stream: q.stream, Records: q.batch(w.cfg)})
		}
	}
}

// first gives the queue whose call may be made and is due longest, nil for none.
func (w *Writer) first(now time.Time) *queue {
	var best *queue
	var bestAt time.Time
	for _, q := range w.active {
		at, ok := q.ready()
		if !ok || at.After(now) || q.costs() && w.budget.tokens < 1 {
			continue
		}
		if best == nil || at.Before(bestAt) {
			best, bestAt = q, at
		}
	}
	return best
}

// costs reports whether the queue's next call is an append and not a read.
func (q *queue) costs() bool { return q.next != 0 && !q.check }

// failed puts the queue's next call off.
func (w *Writer) failed(now time.Time, q *queue, jitter float64) {
	q.failures++
	q.notBefore = now.Add(w.cfg.Backoff.After(q.failures, jitter))
}

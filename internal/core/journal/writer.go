package journal

import (
	"slices"
	"time"

	"coltsfootmux/internal/platform"
)

// Writer decides what to append when. It is not safe for concurrent use.
type Writer struct {
	cfg     Config
	budget  *budget
	byName  map[platform.Stream]*queue
	active  []*queue // those with anything to do, in the order in which they got it
	tickets map[Ticket]*ticketed
	refused uint64
	out     []Action
}

// ticketed is an item that somebody waits for.
type ticketed struct {
	queue *queue
	item  *item
}

// NewWriter makes a Writer.
func NewWriter(cfg Config) *Writer {
	return &Writer{
		cfg:     cfg,
		budget:  newBudget(cfg.PerSecond, cfg.Burst),
		byName:  make(map[platform.Stream]*queue),
		tickets: make(map[Ticket]*ticketed),
	}
}

// Step takes one event in and gives what to do.
func (w *Writer) Step(now time.Time, ev Event) []Action {
	w.out = nil
	w.budget.refill(now)
	switch ev := ev.(type) {
	case Submitted:
		w.submitted(now, ev)
	case Withdrawn:
		w.withdrawn(ev)
	case Located:
		w.located(now, ev)
	case Appended:
		w.appended(now, ev)
	case TailRead:
		w.tailRead(now, ev)
	case Tick:
	}
	w.dispatch(now)
	w.retire()
	return w.out
}

// retire takes queues that have nothing left to do off the active ones, so that
// the cost of a step does not grow with the streams ever used.
func (w *Writer) retire() {
	w.active = slices.DeleteFunc(w.active, func(q *queue) bool {
		q.active = q.phase != idle || q.check || q.waiting() > 0
		return !q.active
	})
}

// Due gives when a Tick has something to do; ok is false for never.
func (w *Writer) Due() (at time.Time, ok bool) {
	for _, q := range w.active {
		t, has := q.ready()
		if !has {
			continue
		}
		if q.costs() {
			t = later(t, w.budget.ready())
		}
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Queued gives how many records wait or are in flight.
func (w *Writer) Queued() int {
	n := 0
	for _, q := range w.active {
		n += q.waiting() + len(q.flight)
	}
	return n
}

// Refused counts the records that were not taken in because too many waited.
func (w *Writer) Refused() uint64 { return w.refused }

func (w *Writer) do(a Action) { w.out = append(w.out, a) }

func (w *Writer) answer(it *item, a Answer) {
	if it.ticket == 0 || it.gone {
		return
	}
	delete(w.tickets, it.ticket)
	a.Ticket = it.ticket
	w.do(a)
}

func (w *Writer) queue(s platform.Stream) *queue {
	q, ok := w.byName[s]
	if !ok {
		q = &queue{stream: s}
		w.byName[s] = q
	}
	if !q.active {
		q.active = true
		w.active = append(w.active, q)
	}
	return q
}

func (w *Writer) submitted(now time.Time, ev Submitted) {
	q := w.queue(ev.Stream)
	it := &item{record: ev.Record, ticket: ev.Ticket, due: now}
	if it.ticket == 0 {
		it.due = now.Add(w.cfg.Linger)
	}
	if q.waiting() >= w.cfg.QueueRecords || q.bytes+it.size() > w.cfg.QueueBytes {
		w.refused++
		w.answer(it, Answer{Result: QueueFull})
		return
	}
	q.push(it)
	if it.ticket != 0 {
		w.tickets[it.ticket] = &ticketed{queue: q, item: it}
	}
}

func (w *Writer) withdrawn(ev Withdrawn) {
	t, ok := w.tickets[ev.Ticket]
	if !ok {
		return
	}
	result := NotRecorded
	if t.item.flying || t.item.sent {
		result = Unclear
	}
	w.answer(t.item, Answer{Result: result})
	if t.item.flying {
		t.item.gone = true
		return
	}
	t.queue.drop(t.item)
}

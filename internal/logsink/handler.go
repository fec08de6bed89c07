package logsink

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate of the lines of one event. A burst of starts on a whole pool of a few
// hundred workers passes; a fault that repeats itself is thinned out.
const (
	linesPerSecond = 200
	linesBurst     = 1000
)

// Attributes that the handler reads and adds.
const (
	attrEvent   = "event"
	attrLeftOut = "left_out"
	attrDropped = "dropped"
)

// Handler is a slog.Handler that thins each event out to its rate.
type Handler struct {
	next slog.Handler
	sink *Sink
	book *book
}

// book keeps the rates; handlers derived from one another share it.
type book struct {
	mu     sync.Mutex
	events map[int64]*account
}

type account struct {
	limit   *rate.Limiter
	leftOut int64
}

// NewHandler makes a handler in front of next, which writes to sink.
func NewHandler(next slog.Handler, sink *Sink) *Handler {
	return &Handler{next: next, sink: sink, book: &book{events: make(map[int64]*account)}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	leftOut, ok := h.book.take(eventOf(r), r.Time)
	if !ok {
		linesLeftOut.Inc()
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int64(attrLeftOut, leftOut))
	}
	if n := h.sink.TakeDropped(); n > 0 {
		r.AddAttrs(slog.Int64(attrDropped, n))
	}
	return h.next.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), sink: h.sink, book: h.book}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), sink: h.sink, book: h.book}
}

// take says whether a line of the event may be written now, and how many were
// left out before it.
func (b *book) take(event int64, now time.Time) (leftOut int64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.events[event]
	if a == nil {
		a = &account{limit: rate.NewLimiter(linesPerSecond, linesBurst)}
		b.events[event] = a
	}
	if !a.limit.AllowN(now, 1) {
		a.leftOut++
		return 0, false
	}
	leftOut, a.leftOut = a.leftOut, 0
	return leftOut, true
}

// eventOf gives a record's event number, 0 when it has none.
func eventOf(r slog.Record) int64 {
	var n int64
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != attrEvent {
			return true
		}
		n = a.Value.Int64()
		return false
	})
	return n
}

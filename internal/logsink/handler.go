package logsink

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate limit for the lines of one event. It lets through a burst of starts on a
// pool of a few hundred workers, but limits a fault that repeats itself.
const (
	linesPerSecond = 200
	burstLines     = 1000
)

// Attribute keys that the handler reads (attrEvent) and adds.
const (
	attrEvent   = "event"
	attrLeftOut = "left_out"
	attrDropped = "dropped"
)

// Handler is a slog.Handler that limits the rate of each event's lines.
type Handler struct {
	next     slog.Handler
	sink     *Sink
	limiters *eventLimiters
}

// eventLimiters holds the rate limiter of each event. A handler shares it with the
// handlers derived from it.
type eventLimiters struct {
	mu      sync.Mutex
	byEvent map[int64]*eventLimiter
}

type eventLimiter struct {
	limiter *rate.Limiter
	leftOut int64
}

// NewHandler returns a handler that passes lines on to next, which must write to sink.
func NewHandler(next slog.Handler, sink *Sink) *Handler {
	return &Handler{next: next, sink: sink, limiters: &eventLimiters{byEvent: make(map[int64]*eventLimiter)}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	leftOut, ok := h.limiters.allow(eventOf(r), r.Time)
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
	return &Handler{next: h.next.WithAttrs(attrs), sink: h.sink, limiters: h.limiters}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), sink: h.sink, limiters: h.limiters}
}

// allow reports whether a line of the event may be written now, and if so, how many
// were left out since the last one.
func (l *eventLimiters) allow(event int64, now time.Time) (leftOut int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.byEvent[event]
	if e == nil {
		e = &eventLimiter{limiter: rate.NewLimiter(linesPerSecond, burstLines)}
		l.byEvent[event] = e
	}
	if !e.limiter.AllowN(now, 1) {
		e.leftOut++
		return 0, false
	}
	leftOut, e.leftOut = e.leftOut, 0
	return leftOut, true
}

// eventOf returns a record's event number, or 0 if it has none.
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

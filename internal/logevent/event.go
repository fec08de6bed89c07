// Package logevent numbers the events that the programs log. Each package
// declares its events once; docs/EVENTS.md lists them all, and a test holds the
// two together.
package logevent

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
)

// Event is a numbered kind of log line.
type Event struct {
	Code  int
	Level slog.Level
	// Text is the fixed message; what varies goes into attributes.
	Text string
}

var (
	mu  sync.Mutex
	all = make(map[int]Event)
)

// New declares an event. It panics when the code is taken, which is a fault of
// the program found at its start.
func New(code int, level slog.Level, text string) Event {
	mu.Lock()
	defer mu.Unlock()
	if old, ok := all[code]; ok {
		panic(fmt.Sprintf("event %d declared twice: %q and %q", code, old.Text, text))
	}
	e := Event{Code: code, Level: level, Text: text}
	all[code] = e
	return e
}

// Log writes the event with attributes.
func (e Event) Log(ctx context.Context, l *slog.Logger, attrs ...slog.Attr) {
	if !l.Enabled(ctx, e.Level) {
		return
	}
	l.LogAttrs(ctx, e.Level, e.Text, append([]slog.Attr{slog.Int("event", e.Code)}, attrs...)...)
}

// All gives every declared event in the order of its code.
func All() []Event {
	mu.Lock()
	defer mu.Unlock()
	out := make([]Event, 0, len(all))
	for _, e := range all {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

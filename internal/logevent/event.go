// Package logevent numbers the events that the programs log. Each package
// declares its events once; docs/EVENTS.md lists them all, and a test checks that
// the page agrees with the declarations.
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
	// Text is the fixed message; values that vary are logged as attributes.
	Text string
}

var (
	mu       sync.Mutex
	declared = make(map[int]Event)
)

// New declares an event. It panics if the code is already in use, which is a
// programming error that shows when the program starts.
func New(code int, level slog.Level, text string) Event {
	mu.Lock()
	defer mu.Unlock()
	if old, ok := declared[code]; ok {
		panic(fmt.Sprintf("event %d declared twice: %q and %q", code, old.Text, text))
	}
	e := Event{Code: code, Level: level, Text: text}
	declared[code] = e
	return e
}

// Log logs the event with attributes.
func (e Event) Log(ctx context.Context, l *slog.Logger, attrs ...slog.Attr) {
	if !l.Enabled(ctx, e.Level) {
		return
	}
	l.LogAttrs(ctx, e.Level, e.Text, append([]slog.Attr{slog.Int("event", e.Code)}, attrs...)...)
}

// All returns every declared event, sorted by code.
func All() []Event {
	mu.Lock()
	defer mu.Unlock()
	out := make([]Event, 0, len(declared))
	for _, e := range declared {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Code, b.Code) })
	return out
}

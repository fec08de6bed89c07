package audit

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Options are a trail's settings. Zero numbers take the defaults.
type Options struct {
	Log *logclient.Client
	// Retention is how long the log keeps records.
	Retention time.Duration
	// MaxPending is the largest number of entries that may wait for the log.
	MaxPending int
	// MaxEntries is the largest number of entries kept in memory and on the log. The
	// oldest ones are dropped first.
	MaxEntries int
	Logger     *slog.Logger
}

// The defaults.
const (
	DefaultRetention  = time.Hour
	DefaultMaxPending = 1000
	DefaultMaxEntries = 20_000
)

// warnDivisor sets when a warning is logged: when MaxPending/warnDivisor entries
// wait for the log.
const warnDivisor = 20

// Trail is one process's copy of the audit stream. It is safe for concurrent use.
type Trail struct {
	o      Options
	keeper *logclient.Keeper

	mu sync.Mutex
	// entries are in the order of time; records holds each entry's record by id.
	entries []Entry
	records map[string]platform.Record
	// pending holds the ids of entries that were added here and not yet read back.
	pending  map[string]bool
	caughtUp bool
	// warned is set after the warning that many entries wait for the log, until
	// none does.
	warned bool
}

// New returns an empty trail; Run fills it.
func New(o Options) *Trail {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	o.MaxEntries = cmp.Or(o.MaxEntries, DefaultMaxEntries)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	t := &Trail{o: o, records: make(map[string]platform.Record), pending: make(map[string]bool)}
	t.keeper = logclient.NewKeeper(o.Log, platform.StreamAudit, o.Retention, t.recordsToKeep)
	return t
}

// Run follows the stream and rewrites entries before they expire, until ctx ends.
// It returns ctx's error.
func (t *Trail) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return t.o.Log.Follow(ctx, platform.StreamAudit, 0, func(e platform.Entry) { t.read(ctx, e) },
			logclient.WithKeeper(t.keeper), logclient.OnCaughtUp(func(model.Offset) { t.setCaughtUp() }))
	})
	g.Go(func() error { return t.keeper.Run(ctx) })
	return g.Wait()
}

// Add queues an entry for the log and does not wait until it is written. It does
// nothing if the trail has an entry with the same id. The error is ErrFull, or
// that of encoding the entry.
func (t *Trail) Add(ctx context.Context, e Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.records[e.ID]; ok || t.pending[e.ID] {
		return nil
	}
	if len(t.pending) >= t.o.MaxPending {
		return ErrFull
	}
	data, err := encMode.Marshal(&e)
	if err != nil {
		return err
	}
	rec := platform.Record{ID: e.ID, Type: TypeEntry, Data: data}
	if err := t.o.Log.Enqueue(platform.StreamAudit, rec); err != nil {
		return ErrFull
	}
	t.pending[e.ID] = true
	if !t.warned && len(t.pending) >= max(t.o.MaxPending/warnDivisor, 1) {
		t.warned = true
		evWaiting.Log(ctx, t.o.Logger, slog.Int("entries", len(t.pending)))
	}
	mEntries.With(string(e.Ruling)).Inc()
	return nil
}

// Room reports whether an entry can be added now.
func (t *Trail) Room() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending) < t.o.MaxPending
}

// Has reports whether an entry is in the trail or waits for the log.
func (t *Trail) Has(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.records[id]
	return ok || t.pending[id]
}

// Pending returns how many entries wait for the log.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending)
}

// CaughtUp reports whether the trail has once read the stream to its end.
func (t *Trail) CaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// Find returns the entries that a filter selects, the newest first.
func (t *Trail) Find(f Filter) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Entry{}
	for i := len(t.entries) - 1; i >= 0; i-- {
		if f.Limit > 0 && len(out) >= f.Limit {
			break
		}
		if f.matches(&t.entries[i]) {
			out = append(out, t.entries[i])
		}
	}
	return out
}

func (t *Trail) setCaughtUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caughtUp = true
}

// read adds the entry of one record of the stream; copies of an entry that the
// trail has are ignored.
func (t *Trail) read(ctx context.Context, pe platform.Entry) {
	e, err := decode(pe.Record.Data)
	if err != nil || pe.Record.Type != TypeEntry || e.ID != pe.Record.ID {
		evBadEntry.Log(ctx, t.o.Logger, slog.Uint64("offset", uint64(pe.Offset)))
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[e.ID] {
		delete(t.pending, e.ID)
		if len(t.pending) == 0 && t.warned {
			t.warned = false
			evWritten.Log(ctx, t.o.Logger)
		}
	}
	if _, ok := t.records[e.ID]; ok {
		return
	}
	t.records[e.ID] = pe.Record
	at, _ := slices.BinarySearchFunc(t.entries, e, compare)
	t.entries = slices.Insert(t.entries, at, e)
	if len(t.entries) > t.o.MaxEntries {
		delete(t.records, t.entries[0].ID)
		t.entries = slices.Delete(t.entries, 0, 1)
	}
}

func compare(a, b Entry) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
}

// recordsToKeep returns the records that must stay on the log.
func (t *Trail) recordsToKeep() []platform.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]platform.Record, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, t.records[e.ID])
	}
	return out
}

package settings

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// world is a stream, readers that come and go, and one that never misses a record.
type world struct {
	t         *rapid.T
	s         *stream
	witness   *reader
	readers   []*reader
	published int
	last      Record
}

// opts keep little history, so that snapshots and gaps are met often.
func (w *world) opts() Options {
	return Options{History: 4, SnapshotRecords: 5}
}

// publish appends a change on the version that some reader has.
func (w *world) publish() {
	r := rapid.SampledFrom(w.readers).Draw(w.t, "publisher")
	w.published++
	id := fmt.Sprint("r", w.published)
	if r.version() == 0 {
		w.last = record(id, 0)
	} else {
		name := rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.t, "name")
		op := exception(name, id)
		if rapid.IntRange(0, 3).Draw(w.t, "remove") == 0 {
			op = Op{RemoveException: name}
		}
		w.last = record(id, r.version(), op)
	}
	w.s.change(w.t, w.last)
	w.witness.follow(w.s, -1)
}

// repeat appends the last change once more, as a writer does that lost the answer.
func (w *world) repeat() {
	if w.published > 0 {
		w.s.change(w.t, w.last)
		w.witness.follow(w.s, -1)
	}
}

func (w *world) read() {
	r := rapid.SampledFrom(w.readers).Draw(w.t, "reader")
	r.follow(w.s, rapid.IntRange(1, 6).Draw(w.t, "entries"))
}

func (w *world) push() {
	from := rapid.SampledFrom(w.readers).Draw(w.t, "from")
	to := rapid.SampledFrom(w.readers).Draw(w.t, "to")
	have := to.version()
	if !to.core.Known() {
		have = 0
	}
	if u := from.core.Since(have); u != nil {
		to.step(Offered{u})
	}
}

func (w *world) restart() {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(w.t, "restarted")
	w.readers[i] = newReader(w.opts())
}

func (w *world) snapshot() {
	r := rapid.SampledFrom(w.readers).Draw(w.t, "saver")
	if s := r.core.Snapshot(); s != nil {
		w.s.snapshot(w.t, s)
		w.witness.follow(w.s, -1)
	}
}

func (w *world) expire() {
	w.s.expire(rapid.IntRange(1, 4).Draw(w.t, "expired"))
}

// check holds every reader to the history of the one that misses nothing.
func (w *world) check() {
	history := make(map[config.Version]*config.Versioned)
	for _, v := range w.witness.versions {
		history[v.Version] = v
	}
	for i, r := range w.readers {
		var last config.Version
		for _, v := range r.versions {
			if v.Version <= last {
				w.t.Fatalf("reader %d fell from version %d to %d", i, last, v.Version)
			}
			last = v.Version
			want := history[v.Version]
			if want == nil {
				w.t.Fatalf("reader %d has version %d, which never was", i, v.Version)
			}
			if d := config.Diff(&want.Document, &v.Document); len(d) > 0 {
				w.t.Fatalf("reader %d has another version %d: %v", i, v.Version, d)
			}
		}
		if r.version() != last {
			w.t.Fatalf("reader %d is at version %d after installing %d", i, r.version(), last)
		}
		w.checkVerdicts(i, r)
	}
}

// checkVerdicts holds what a reader ruled on each record to the one ruling there is.
func (w *world) checkVerdicts(i int, r *reader) {
	want := make(map[model.Offset]bool)
	for _, v := range w.witness.verdicts {
		want[v.Offset] = v.Ruling == RulingAccepted
	}
	for _, v := range r.verdicts {
		accepted, ruled := want[v.Offset]
		if !ruled || accepted != (v.Ruling == RulingAccepted) {
			w.t.Fatalf("reader %d ruled %s on %s at %d", i, v.Ruling, v.Record.ID, v.Offset)
		}
	}
}

func TestAnyOrderOfRacingRecordsGivesOneHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, s: newStream(), witness: newReader(Options{})}
		for range 4 {
			w.readers = append(w.readers, newReader(w.opts()))
		}
		moves := []func(){w.publish, w.publish, w.repeat, w.read, w.read, w.read, w.push, w.push, w.restart, w.snapshot, w.expire}
		for range 40 {
			moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]()
			w.check()
		}
		// With a snapshot of the whole history everybody ends at one version.
		if s := w.witness.core.Snapshot(); s != nil {
			w.s.snapshot(t, s)
		}
		for i, r := range w.readers {
			r.follow(w.s, -1)
			if r.version() != w.witness.version() {
				t.Fatalf("reader %d ends at version %d, not %d", i, r.version(), w.witness.version())
			}
		}
		w.check()
	})
}

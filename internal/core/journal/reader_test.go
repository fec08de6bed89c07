package journal_test

import (
	"fmt"
	"testing"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

func page(from model.Offset, ids ...string) journal.PageRead {
	var es []platform.Entry
	for i, id := range ids {
		es = append(es, platform.Entry{Offset: from + model.Offset(i), Record: platform.Record{ID: id}})
	}
	return journal.PageRead{Entries: es}
}

func readText(as []journal.ReaderAction) string {
	text := ""
	for i, a := range as {
		if i > 0 {
			text += "; "
		}
		switch a := a.(type) {
		case journal.Read:
			text += fmt.Sprint("read ", a.From, waitText(a.Wait))
		case journal.Deliver:
			text += "deliver " + a.Entry.Record.ID
			if a.Again {
				text += " again"
			}
		case journal.Pause:
			text += "pause"
		default:
			text += fmt.Sprintf("%T%+v", a, a)
		}
	}
	return text
}

func waitText(wait bool) string {
	if wait {
		return " and wait"
	}
	return ""
}

func TestReaderGoesOnThroughAllThatHappens(t *testing.T) {
	bounds := journal.BoundsRead{Bounds: platform.Bounds{Oldest: 5, Next: 9}}
	failed := journal.PageRead{Failure: journal.FailUnclear}
	type step struct {
		ev   journal.ReaderEvent
		want string
	}
	for name, tc := range map[string]struct {
		from  model.Offset
		steps []step
	}{
		"from the oldest, without a reset": {0, []step{
			{journal.Begin{}, "journal.AskBounds{}"},
			{bounds, "read 5"},
			{page(5, "a"), "deliver a; read 6"},
			{page(6), "journal.CaughtUp{Next:6}; read 6 and wait"},
			{page(6, "b"), "deliver b; read 7 and wait"},
			{page(7), "read 7 and wait"},
		}},
		"an outage, after which it says when it has caught up": {1, []step{
			{journal.Begin{}, "read 1"},
			{page(1), "journal.CaughtUp{Next:1}; read 1 and wait"},
			{failed, "pause"},
			{journal.PauseOver{}, "read 1"},
			{page(1, "a"), "deliver a; read 2"},
			{page(2), "journal.CaughtUp{Next:2}; read 2 and wait"},
		}},
		"a gap, after which it forgets what it has seen": {1, []step{
			{journal.Begin{}, "read 1"},
			{page(1, "a"), "deliver a; read 2"},
			{journal.PageRead{Failure: journal.FailExpired}, "journal.AskBounds{}"},
			{journal.BoundsRead{Failure: journal.FailNothing}, "pause"},
			{journal.PauseOver{}, "journal.AskBounds{}"},
			{bounds, "journal.Reset{Next:5}; read 5"},
			{page(5, "a"), "deliver a; read 6"},
		}},
		"a record that is there twice": {1, []step{
			{journal.Begin{}, "read 1"},
			{page(1, "a", "b", "a"), "deliver a; deliver b; deliver a again; read 4"},
		}},
		"a page that overlaps the one before": {1, []step{
			{journal.Begin{}, "read 1"},
			{page(1, "a", "b"), "deliver a; deliver b; read 3"},
			{page(2, "b", "c"), "deliver c; read 4"},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := journal.NewReader(journal.DefaultReaderConfig(), tc.from)
			for i, s := range tc.steps {
				if got := readText(r.Step(s.ev)); got != s.want {
					t.Fatalf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

func TestReaderRemembersABoundedNumberOfRecords(t *testing.T) {
	r := journal.NewReader(journal.ReaderConfig{Remember: 3}, 1)
	want := "deliver a; deliver b; deliver c; deliver a again; deliver d; deliver a; deliver c again; deliver d again; read 9"
	if got := readText(r.Step(page(1, "a", "b", "c", "a", "d", "a", "c", "d"))); got != want {
		t.Fatalf("got  %q\nwant %q", got, want)
	}
}

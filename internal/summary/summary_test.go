package summary_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/summary"
	_ "coltsfootmux/internal/testseed"
)

// cells gives n cells as a fleet of today has them.
func cells(r *rand.Rand, n int) []summary.Cell {
	out := make([]summary.Cell, n)
	for i := range out {
		out[i].ID = model.CellID(fmt.Sprintf("riga-1-rack%04d", i))
		change(r, &out[i])
	}
	return out
}

// change gives a cell new figures, as a start or an ending in it does.
func change(r *rand.Rand, c *summary.Cell) {
	free := r.IntN(64)
	c.Free = model.Shape{Slots: free, Accelerators: r.IntN(64), CPUMilli: free * 4000, MemoryMB: free * 16384}
	c.Waiting = r.IntN(200)
	c.FragmentationPermille = r.IntN(1000)
	c.Lent = nil
	for _, a := range []model.Account{"analysts", "orders"} {
		if r.IntN(2) == 0 {
			c.Lent = append(c.Lent, summary.Lent{Account: a, Shape: model.Shape{Slots: r.IntN(8), Accelerators: r.IntN(8)}})
		}
	}
}

func TestPeersCopyIsAStateThatTheSenderHadAndCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s, r := summary.NewSender(1), summary.NewReceiver()
		now := cells(rnd, rapid.IntRange(0, 6).Draw(t, "cells"))
		past := make(map[summary.Ack][]summary.Cell)
		var known summary.Ack // what the sender knows of the peer
		var flying []summary.Message
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0: // some cells change
				for i := range now {
					if rnd.IntN(3) == 0 {
						change(rnd, &now[i])
					}
				}
			case 1: // a cell comes
				now = append(now, summary.Cell{ID: model.CellID(fmt.Sprintf("new%d", len(now)+rnd.IntN(9)*10))})
				now = unique(now)
			case 2: // a cell goes
				if len(now) > 0 {
					now = append([]summary.Cell(nil), now[1:]...)
				}
			case 3: // the sender restarts
				s = summary.NewSender(s.Run() + 1)
			case 4: // the peer restarts
				r = summary.NewReceiver()
			case 5: // an old message comes late or again
				if len(flying) > 0 {
					r.Apply(&flying[rapid.IntRange(0, len(flying)-1).Draw(t, "late")])
				}
			}
			s.Update(now)
			past[summary.Ack{Run: s.Run(), State: s.State()}] = sorted(now)
			if m := s.Message(known); !m.Empty() {
				flying = append(flying, m)
				if rapid.IntRange(0, 2).Draw(t, "arrives") > 0 {
					known = r.Apply(&m)
				}
			}
			if a := r.Ack(); a.State != 0 && !equal(r.Cells(), past[a]) {
				t.Fatalf("copy of state %+v: %+v, want %+v", a, r.Cells(), past[a])
			}
		}
		for range 3 {
			m := s.Message(known)
			known = r.Apply(&m)
		}
		if !equal(r.Cells(), sorted(now)) {
			t.Fatalf("the peer did not catch up: %+v, want %+v", r.Cells(), sorted(now))
		}
	})
}

func unique(cs []summary.Cell) []summary.Cell {
	seen := make(map[model.CellID]bool)
	var out []summary.Cell
	for _, c := range cs {
		if !seen[c.ID] {
			seen[c.ID] = true
			out = append(out, c)
		}
	}
	return out
}

func sorted(cs []summary.Cell) []summary.Cell {
	r := summary.NewReceiver()
	r.Apply(&summary.Message{Run: 9, State: 1, Cells: cs})
	return r.Cells()
}

func equal(a, b []summary.Cell) bool { return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b) }

func TestChangedMessageIsNotedAndTheFullStateAskedFor(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	s, r := summary.NewSender(1), summary.NewReceiver()
	now := cells(rnd, 5)
	s.Update(now)
	m := s.Message(summary.Ack{})
	r.Apply(&m)
	change(rnd, &now[2])
	s.Update(now)
	m = s.Message(r.Ack())
	if len(m.Cells) != 1 || m.Base != 1 {
		t.Fatalf("%d cells on base %d for one change", len(m.Cells), m.Base)
	}
	m.Cells[0].Waiting++
	ack := r.Apply(&m)
	if ack.State != 0 {
		t.Fatalf("a changed message was acknowledged: %+v", ack)
	}
	if m = s.Message(ack); m.Base != 0 || r.Apply(&m).State != s.State() {
		t.Fatalf("no full state after it: base %d", m.Base)
	}
}

// follow brings a peer up to date and fails when that takes the full state.
func follow(t *testing.T, s *summary.Sender, r *summary.Receiver) {
	t.Helper()
	m := s.Message(r.Ack())
	if m.Base == 0 {
		t.Fatal("the full state was needed")
	}
	if ack := r.Apply(&m); ack.State != s.State() {
		t.Fatalf("the peer is at %+v, want %d", ack, s.State())
	}
}

func TestCellThatGoesAndComesBackNeedsNoFullState(t *testing.T) {
	now := cells(rand.New(rand.NewPCG(1, 1)), 5)
	s, r := summary.NewSender(1), summary.NewReceiver()
	s.Update(now)
	m := s.Message(summary.Ack{})
	r.Apply(&m)
	s.Update(now[1:])
	s.Update(now) // both before the peer hears of it
	follow(t, s, r)
	s.Update(now[1:])
	follow(t, s, r)
	s.Update(now)
	follow(t, s, r)
	if !equal(r.Cells(), now) {
		t.Fatalf("got %+v", r.Cells())
	}
}

func TestPeerThatMissedTooManyGoneCellsGetsTheFullState(t *testing.T) {
	now := cells(rand.New(rand.NewPCG(1, 1)), 3000)
	s, r := summary.NewSender(1), summary.NewReceiver()
	s.Update(now)
	m := s.Message(summary.Ack{})
	r.Apply(&m)
	s.Update(now[:1500])
	s.Update(now[:10])
	m = s.Message(r.Ack())
	if ack := r.Apply(&m); m.Base != 0 || ack.State != s.State() || len(r.Cells()) != 10 {
		t.Fatalf("base %d, %d cells, state %d", m.Base, len(r.Cells()), ack.State)
	}
}

func TestNothingIsSentWhenNothingChanged(t *testing.T) {
	now := cells(rand.New(rand.NewPCG(1, 1)), 5)
	s, r := summary.NewSender(1), summary.NewReceiver()
	s.Update(now)
	m := s.Message(summary.Ack{})
	ack := r.Apply(&m)
	s.Update(now)
	if m := s.Message(ack); !m.Empty() {
		t.Fatalf("sent %+v", m)
	}
}

package mapping

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

func fleet(cells int) config.Fleet {
	f := config.Fleet{KeyGroups: 32, CellsPerGroup: 3, Witnesses: 5}
	for c := range cells {
		cell := model.Cell{ID: model.CellID(fmt.Sprintf("cell-%02d", c))}
		for w := range 8 {
			cell.Workers = append(cell.Workers, model.Worker{ID: model.WorkerID(fmt.Sprintf("%s-w%d", cell.ID, w))})
		}
		f.Cells = append(f.Cells, cell)
	}
	return f
}

func TestOrderOfTheConfigurationDoesNotMoveTheMapping(t *testing.T) {
	f := fleet(12)
	a := New(f)
	slices.Reverse(f.Cells)
	b := New(f)
	for g := range model.GroupID(32) {
		for i, c := range a.Cells(g) {
			if b.Cells(g)[i].ID != c.ID {
				t.Fatalf("group %d: cell %d is %s and %s", g, i, c.ID, b.Cells(g)[i].ID)
			}
		}
	}
}

// TestCellsOfAGroupAreThoseOfTheHighestWeights states the ranking anew, so that
// no change of the code moves work.
func TestCellsOfAGroupAreThoseOfTheHighestWeights(t *testing.T) {
	f := fleet(40)
	m := New(f)
	for g := range model.GroupID(32) {
		weight := func(c model.Cell) uint64 {
			return xxhash.Sum64String(fmt.Sprintf("group/%d\x00%s", g, c.ID))
		}
		got := m.Cells(g)
		least := weight(got[len(got)-1])
		for i, c := range got[1:] {
			if weight(c) > weight(got[i]) {
				t.Errorf("group %d: cell %s is ranked behind a lighter one", g, c.ID)
			}
		}
		heavier := 0
		for _, c := range f.Cells {
			if weight(c) >= least {
				heavier++
			}
		}
		if len(got) != f.CellsPerGroup || heavier != len(got) {
			t.Errorf("group %d: %d cells of which %d are the heaviest", g, len(got), heavier)
		}
	}
}

func BenchmarkNew(b *testing.B) {
	f := fleet(1625)
	for _, groups := range []int{64, 512} {
		f.KeyGroups = groups
		b.Run(fmt.Sprintf("cells=1625/groups=%d", groups), func(b *testing.B) {
			for b.Loop() {
				New(f)
			}
		})
	}
}

func TestLosingOneCellLeavesAMajorityOfWitnesses(t *testing.T) {
	m := New(fleet(12))
	for g := range model.GroupID(32) {
		in := make(map[model.CellID]int)
		for _, w := range m.Witnesses(g) {
			for _, c := range m.Cells(g) {
				if slices.ContainsFunc(c.Workers, func(o model.Worker) bool { return o.ID == w.ID }) {
					in[c.ID]++
				}
			}
		}
		for c, n := range in {
			if 5-n < 3 {
				t.Errorf("group %d: cell %s holds %d of 5 witnesses", g, c, n)
			}
		}
	}
}

func TestAddingACellMovesOnlyGroupsThatTakeIt(t *testing.T) {
	before, after := New(fleet(12)), New(fleet(13))
	for g := range model.GroupID(32) {
		takes := slices.ContainsFunc(after.Cells(g), func(c model.Cell) bool { return c.ID == "cell-12" })
		same := slices.EqualFunc(before.Cells(g), after.Cells(g), func(a, b model.Cell) bool { return a.ID == b.ID })
		if !takes && !same {
			t.Errorf("group %d moved without taking the new cell", g)
		}
	}
}

func TestOnlyAChangeOfTheFleetIsComputedAnew(t *testing.T) {
	var none *Mapping
	first := none.For(fleet(12))
	if same := first.For(fleet(12)); same != first {
		t.Error("an equal fleet was computed anew")
	}
	other := first.For(fleet(13))
	if other == first || len(other.GroupsOf("cell-12")) == 0 {
		t.Error("another fleet was not computed anew")
	}
}

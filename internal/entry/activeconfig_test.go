package entry

import (
	"fmt"
	"testing"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

func testFleet(cells, groups int) config.Fleet {
	f := config.Fleet{KeyGroups: groups, CellsPerGroup: 4, Witnesses: 5}
	for c := range cells {
		cell := model.Cell{ID: model.CellID(fmt.Sprintf("cell-%04d", c)), DataCentre: model.DataCentre(fmt.Sprint("dc", c%7))}
		for w := range 8 {
			cell.Workers = append(cell.Workers, model.Worker{
				ID: model.WorkerID(fmt.Sprintf("%s-w%d", cell.ID, w)), Addr: fmt.Sprintf("10.0.%d.%d:1", c, w),
				Capacity: model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32000, MemoryMB: 128 << 10},
			})
		}
		f.Cells = append(f.Cells, cell)
	}
	return f
}

func TestDerivedDataIsReusedUntilTheFleetChanges(t *testing.T) {
	one := derive(nil, &config.Versioned{Version: 1, Document: config.Document{Fleet: testFleet(3, 4)}})
	two := derive(one, &config.Versioned{Version: 2, Document: config.Document{
		Fleet: testFleet(3, 4), Exceptions: []config.Exception{{ID: "x", Reason: "y"}},
	}})
	if two.mapping != one.mapping || two.capacity != one.capacity || len(two.doc.Exceptions) != 1 {
		t.Error("an exception replaced the data derived from the fleet")
	}
	changed := testFleet(3, 4)
	changed.Cells[1].Workers[2].Capacity.Accelerators = 4
	three := derive(two, &config.Versioned{Version: 3, Document: config.Document{Fleet: changed}})
	if three.mapping == two.mapping || three.capacity == two.capacity {
		t.Error("the derived data was reused although a worker has changed")
	}
}

// BenchmarkDerive measures the derivation for a new configuration, with a new and
// with an unchanged fleet.
func BenchmarkDerive(b *testing.B) {
	for _, n := range []struct{ cells, groups int }{{7, 64}, {1625, 64}, {1625, 512}} {
		v := &config.Versioned{Version: 1, Document: config.Document{Fleet: testFleet(n.cells, n.groups)}}
		again := &config.Versioned{Version: 2, Document: config.Document{Fleet: testFleet(n.cells, n.groups)}}
		b.Run(fmt.Sprintf("cells=%d/groups=%d/fleet=new", n.cells, n.groups), func(b *testing.B) {
			for b.Loop() {
				derive(nil, v)
			}
		})
		b.Run(fmt.Sprintf("cells=%d/groups=%d/fleet=same", n.cells, n.groups), func(b *testing.B) {
			old := derive(nil, v)
			for b.Loop() {
				derive(old, again)
			}
		})
	}
}

// BenchmarkCheck measures the check whether one gang fits into a fleet.
func BenchmarkCheck(b *testing.B) {
	for _, cells := range []int{7, 1625} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			f := testFleet(cells, 64)
			r := newFleetCapacity(&f)
			w := &model.Work{Members: 512, Shape: model.Shape{Accelerators: 8}, Adjacency: model.AdjacentRack}
			for b.Loop() {
				r.fits(w, nil)
			}
		})
	}
}

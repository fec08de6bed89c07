package entitlement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	_ "coltsfootmux/internal/testseed"
)

var size = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32000, MemoryMB: 128 << 10}

func all(model.CellID, model.WorkerID) bool { return true }

func fleetOf(racks, workers int) config.Fleet {
	f := config.Fleet{KeyGroups: 1, CellsPerGroup: 1, Witnesses: 1}
	for r := range racks {
		dc := model.DataCentre(fmt.Sprint("dc", r%3))
		cl := model.Cell{ID: model.CellID(fmt.Sprintf("r%d", r)), DataCentre: dc}
		for w := range workers {
			cl.Workers = append(cl.Workers, model.Worker{
				ID: model.WorkerID(fmt.Sprintf("r%d-%d", r, w)), Addr: "127.0.0.1:1", Capacity: size,
			})
		}
		f.Cells = append(f.Cells, cl)
	}
	return f
}

// drawDoc makes a configuration with some guarantees, some of them too large.
func drawDoc(t *rapid.T) *config.Document {
	d := &config.Document{Fleet: fleetOf(rapid.IntRange(1, 6).Draw(t, "racks"), rapid.IntRange(1, 8).Draw(t, "workers"))}
	for i := range rapid.IntRange(0, 6).Draw(t, "accounts") {
		a := config.Account{Name: model.Account(fmt.Sprint("a", i))}
		for range rapid.IntRange(0, 3).Draw(t, "guarantees") {
			n := rapid.SampledFrom([]int{1, 2, 4, 8, 9}).Draw(t, "shape")
			a.Guarantees = append(a.Guarantees, config.Guarantee{
				Shape: model.Shape{Slots: n, Accelerators: n, CPUMilli: 4000 * n, MemoryMB: (16 << 10) * n},
				Count: rapid.IntRange(1, 6).Draw(t, "count"),
				Adjacency: rapid.SampledFrom([]model.Adjacency{
					model.AdjacentAny, model.AdjacentDC, model.AdjacentRack, model.AdjacentWorker,
				}).Draw(t, "adjacency"),
			})
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func TestNoWorkerHoldsMoreThanItHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDoc(t)
		held := make(map[model.WorkerID]model.Shape)
		for _, u := range Make(d, all).Units {
			held[u.Worker] = held[u.Worker].Add(u.Shape)
		}
		for w, s := range held {
			if !s.Fits(size) {
				t.Fatalf("%s holds %+v", w, s)
			}
		}
	})
}

func TestEachGuaranteeIsPlannedOrUnmet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDoc(t)
		p := Make(d, all)
		want, got := 0, len(p.Units)
		for _, a := range d.Accounts {
			for _, g := range a.Guarantees {
				want += g.Count
			}
		}
		for _, u := range p.Unmet {
			got += u.Count
			if u.Why == "" {
				t.Fatal("unmet without a reason")
			}
		}
		if got != want {
			t.Fatalf("%d shapes accounted for, want %d", got, want)
		}
	})
}

func TestAdjacentShapesLieTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDoc(t)
		at := make(map[string]Unit)
		kinds := make(map[string]model.Adjacency)
		for _, a := range d.Accounts {
			for _, c := range accountClaims(a) {
				kinds[string(c.account)+c.id] = c.adjacency
			}
		}
		for _, u := range Make(d, all).Units {
			k := string(u.Account) + u.Guarantee
			first, seen := at[k]
			if !seen {
				at[k] = u
				continue
			}
			if kinds[k] == model.AdjacentRack && first.Cell != u.Cell {
				t.Fatalf("%s lies in %s and %s", k, first.Cell, u.Cell)
			}
			if kinds[k] == model.AdjacentWorker && first.Worker != u.Worker {
				t.Fatalf("%s lies on %s and %s", k, first.Worker, u.Worker)
			}
		}
	})
}

func TestTheOrderOfTheListsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDoc(t)
		want := Make(d, all)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(d.Accounts), func(i, j int) { d.Accounts[i], d.Accounts[j] = d.Accounts[j], d.Accounts[i] })
		for _, a := range d.Accounts {
			g := a.Guarantees
			rng.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
		}
		c := d.Fleet.Cells
		rng.Shuffle(len(c), func(i, j int) { c[i], c[j] = c[j], c[i] })
		for _, cl := range c {
			w := cl.Workers
			rng.Shuffle(len(w), func(i, j int) { w[i], w[j] = w[j], w[i] })
		}
		if got := Make(d, all); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v\nwant %+v", got.Units, want.Units)
		}
	})
}

// TestAWorkerWithoutUnitsMovesNothing holds the plan stable: a worker that
// holds nothing may come and go without any change.
func TestAWorkerWithoutUnitsMovesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDoc(t)
		before := Make(d, all)
		held := make(map[model.WorkerID]bool)
		for _, u := range before.Units {
			held[u.Worker] = true
		}
		for _, cl := range d.Fleet.Cells {
			for _, w := range cl.Workers {
				if held[w.ID] {
					continue
				}
				after := Make(d, func(_ model.CellID, id model.WorkerID) bool { return id != w.ID })
				if !reflect.DeepEqual(before.Units, after.Units) {
					t.Fatalf("losing idle %s moved units", w.ID)
				}
				return
			}
		}
	})
}

func TestALostWorkerMovesLittle(t *testing.T) {
	d := &config.Document{Fleet: fleetOf(60, 8)}
	for i := range 20 {
		d.Accounts = append(d.Accounts, config.Account{
			Name: model.Account(fmt.Sprint("a", i)),
			Guarantees: []config.Guarantee{
				{Shape: size, Count: 4, Adjacency: model.AdjacentRack},
				{Shape: size, Count: 2},
			},
		})
	}
	before := Make(d, all)
	where := make(map[string]model.WorkerID)
	for _, u := range before.Units {
		where[fmt.Sprint(u.Account, u.Guarantee, u.Index)] = u.Worker
	}
	lost := before.Units[0].Worker
	moved := 0
	for _, u := range Make(d, func(_ model.CellID, id model.WorkerID) bool { return id != lost }).Units {
		if where[fmt.Sprint(u.Account, u.Guarantee, u.Index)] != u.Worker {
			moved++
		}
	}
	// The lost unit's whole guarantee may move, and may displace a few others.
	if moved == 0 || moved > 12 {
		t.Fatalf("%d of %d units moved", moved, len(before.Units))
	}
}

func TestAGuaranteeStaysWhereItsAccountMayRun(t *testing.T) {
	d := &config.Document{Fleet: fleetOf(6, 2)}
	d.Accounts = []config.Account{
		{Name: "a", DataCentres: []model.DataCentre{"dc1"}, Guarantees: []config.Guarantee{{Shape: size, Count: 2}}},
		{Name: "b", Guarantees: []config.Guarantee{{Shape: size, Count: 2, DataCentre: "dc2"}}},
	}
	want := map[model.Account]model.DataCentre{"a": "dc1", "b": "dc2"}
	dcs := make(map[model.CellID]model.DataCentre)
	for _, cl := range d.Fleet.Cells {
		dcs[cl.ID] = cl.DataCentre
	}
	for _, u := range Make(d, all).Units {
		if dcs[u.Cell] != want[u.Account] {
			t.Errorf("%s has a unit in %s", u.Account, dcs[u.Cell])
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, cells := range []int{6, 60, 1600} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			d := &config.Document{Fleet: fleetOf(cells, 8)}
			for i := range 110 {
				d.Accounts = append(d.Accounts, config.Account{
					Name: model.Account(fmt.Sprint("a", i)),
					Guarantees: []config.Guarantee{
						{Shape: size, Count: 2, Adjacency: model.AdjacentRack},
						{Shape: size, Count: 1},
					},
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				Make(d, all)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(cells), "ns/cell")
		})
	}
}

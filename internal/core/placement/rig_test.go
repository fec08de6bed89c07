package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	_ "coltsfootmux/internal/testseed"
)

var epoch0 = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

var size = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32000, MemoryMB: 128 << 10}

// one is an eighth of a worker.
var one = model.Shape{Slots: 1, Accelerators: 1, CPUMilli: 4000, MemoryMB: 16 << 10}

func testCell(id string, workers int) model.Cell {
	cl := model.Cell{ID: model.CellID(id), DataCentre: "dc1"}
	for i := range workers {
		cl.Workers = append(cl.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("%s-%d", id, i)), Addr: "127.0.0.1:1", Capacity: size,
		})
	}
	return cl
}

func testDoc(cells ...model.Cell) *config.Document {
	return &config.Document{
		Fleet: config.Fleet{
			DataCentres: []config.DataCentre{{Name: "dc1", Region: "r1"}},
			Cells:       cells, KeyGroups: 1, CellsPerGroup: len(cells), Witnesses: 1,
		},
		Defaults: config.Defaults{
			LongestWait:      config.Duration(60 * time.Second),
			LargeWait:        config.Duration(20 * time.Second),
			UrgentWait:       config.Duration(5 * time.Second),
			ReclaimWithin:    config.Duration(8 * time.Second),
			CheckpointWithin: config.Duration(4 * time.Second),
			LeaseTTL:         config.Duration(3 * time.Second),
			QueueBound:       1000, MaxAttempts: 3,
			Weights:   config.Weights{Completion: 1, Fragmentation: 1},
			Reference: model.Shape{Slots: 8, Accelerators: 8},
		},
		Accounts: []config.Account{{Name: "a"}, {Name: "b"}, {Name: "c"}},
	}
}

// rig drives a core by hand and keeps what it asked for.
type rig struct {
	t    *testing.T
	core *Core
	now  time.Time
	// log holds all actions so far, last those of the latest step.
	log  []Action
	last []Action
	// parts are the members begun and not ended, by lease.
	parts map[model.LeaseID]Part
	works map[model.LeaseID]model.Work
}

func newRig(t *testing.T, d *config.Document) *rig {
	r := &rig{
		t: t, core: New("self"), now: epoch0,
		parts: make(map[model.LeaseID]Part), works: make(map[model.LeaseID]model.Work),
	}
	r.step(Configured{Config: &config.Versioned{Version: 1, Document: *d}})
	for _, cl := range d.Fleet.Cells {
		r.step(CellGained{Cell: cl, Epoch: 16})
	}
	return r
}

func (r *rig) step(ev Event) []Action {
	r.t.Helper()
	r.last = r.core.Step(r.now, ev)
	r.log = append(r.log, r.last...)
	for _, a := range r.last {
		if b, ok := a.(Begin); ok {
			for _, p := range b.Parts {
				r.parts[p.Lease] = p
				r.works[p.Lease] = b.Work
			}
		}
	}
	if err := r.core.Verify(); err != nil {
		r.t.Fatalf("after %T: %v", ev, err)
	}
	return r.last
}

// later lets time pass in one step.
func (r *rig) later(d time.Duration) []Action {
	r.t.Helper()
	r.now = r.now.Add(d)
	return r.step(Tick{})
}

func (r *rig) submit(w model.Work) []Action {
	r.t.Helper()
	if w.Members == 0 {
		w.Members = 1
	}
	if w.Shape.IsZero() {
		w.Shape = one
	}
	return r.step(Submitted{Work: w, Attempt: 1})
}

// run submits work and says that it started.
func (r *rig) run(w model.Work) Begin {
	r.t.Helper()
	b := first[Begin](r, r.submit(w))
	r.step(Started{Key: w.Key})
	return b
}

func (r *rig) end(b Begin, member int, state platform.EndState) []Action {
	r.t.Helper()
	p := b.Parts[member]
	delete(r.parts, p.Lease)
	return r.step(Ended{Worker: p.Worker, Ending: platform.Ending{Lease: p.Lease, State: state, Ran: time.Second}})
}

// first gives the first action of a type, or fails the test.
func first[T Action](r *rig, as []Action) T {
	r.t.Helper()
	for _, a := range as {
		if v, ok := a.(T); ok {
			return v
		}
	}
	var none T
	r.t.Fatalf("no %T among %+v", none, as)
	return none
}

func all[T Action](as []Action) []T {
	var out []T
	for _, a := range as {
		if v, ok := a.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func work(key, account string) model.Work {
	return model.Work{
		Key: model.Key(key), Account: model.Account(account), Kind: "k", Class: model.ClassNormal,
		Members: 1, Shape: one,
	}
}

// borrower is work that may be preempted.
func borrower(key, account string, n int) model.Work {
	w := work(key, account)
	w.Shape = one.Times(n)
	w.Idempotent = true
	w.Preemptible = true
	return w
}

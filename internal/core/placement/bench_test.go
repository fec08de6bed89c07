package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// How many client accounts there are today and at the target size.
const (
	todayAccounts  = 4
	targetAccounts = 110
)

// benchFleet is a core that owns cells of eight workers with tasks on them.
type benchFleet struct {
	core *Core
	now  time.Time
	n    int
	// accounts take turns.
	accounts int
	leases   []Part
	keys     []model.Key
}

// workerOf gives the sizes of the target fleet: 13,000 workers with 16,000
// accelerators and 210,000 tasks, or the co-operative's of today.
func workerOf(today bool, i int) model.Shape {
	if today {
		return size
	}
	accelerators := 1
	if i%4 == 0 {
		accelerators = 2
	}
	return model.Shape{Slots: 20, Accelerators: accelerators, CPUMilli: 64000, MemoryMB: 256 << 10}
}

func accountsOf(today bool) int {
	if today {
		return todayAccounts
	}
	return targetAccounts
}

func benchDoc(cells int, today bool) *config.Document {
	d := testDoc()
	for i := range cells {
		cl := testCell(fmt.Sprintf("r%04d", i), 8)
		for k := range cl.Workers {
			cl.Workers[k].Capacity = workerOf(today, k)
		}
		d.Fleet.Cells = append(d.Fleet.Cells, cl)
	}
	d.Defaults.QueueBound = 1 << 20
	d.Defaults.LongestWait = config.Duration(1000 * time.Hour)
	d.Accounts = nil
	for i := range accountsOf(today) {
		a := config.Account{Name: model.Account(fmt.Sprint("a", i))}
		if i < cells {
			a.Guarantees = []config.Guarantee{{Shape: model.Shape{Slots: 8, Accelerators: 1}, Count: 2, Adjacency: model.AdjacentRack}}
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func newBenchFleet(cells int, today bool) *benchFleet {
	d := benchDoc(cells, today)
	f := &benchFleet{accounts: accountsOf(today), core: New("self"), now: epoch0}
	f.step(Configured{Config: &config.Versioned{Version: 1, Document: *d}})
	for _, cl := range d.Fleet.Cells {
		f.step(CellGained{Cell: cl, Epoch: 16})
	}
	return f
}

func (f *benchFleet) step(ev Event) {
	f.now = f.now.Add(time.Millisecond)
	for _, a := range f.core.Step(f.now, ev) {
		if b, ok := a.(Begin); ok {
			f.leases = append(f.leases, b.Parts...)
			f.keys = append(f.keys, b.Work.Key)
		}
	}
}

func (f *benchFleet) submit(s model.Shape) {
	f.n++
	f.step(Submitted{Attempt: 1, Work: model.Work{
		Key: model.Key(fmt.Sprint("k", f.n)), Account: model.Account(fmt.Sprint("a", f.n%f.accounts)),
		Kind: "task", Class: model.ClassNormal, Members: 1, Shape: s, Idempotent: true, Preemptible: true,
	}})
	for _, k := range f.keys {
		f.step(Started{Key: k})
	}
	f.keys = f.keys[:0]
}

// endOne ends the oldest task.
func (f *benchFleet) endOne() {
	p := f.leases[0]
	f.leases = f.leases[1:]
	f.step(Ended{Worker: p.Worker, Ending: platform.Ending{Lease: p.Lease, State: platform.EndDone, Ran: time.Second}})
	for _, k := range f.keys {
		f.step(Started{Key: k})
	}
	f.keys = f.keys[:0]
}

var taskShape = model.Shape{Slots: 1, CPUMilli: 1000, MemoryMB: 1 << 10}

// BenchmarkDecision measures one piece of work from its submission to its end:
// four steps, of which one places it.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		name  string
		cells int
		today bool
		fill  int
	}{
		{"today cells=7 tasks=400", 7, true, 400},
		{"cells=6 tasks=786", 6, false, 786},
		{"cells=60 tasks=7860", 60, false, 7860},
		{"cells=1600 tasks=210000", 1600, false, 210000},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(c.cells, c.today)
			for range c.fill {
				f.submit(taskShape)
			}
			if len(f.leases) != c.fill {
				b.Fatalf("%d tasks run, want %d", len(f.leases), c.fill)
			}
			b.ReportAllocs()
			for b.Loop() {
				f.endOne()
				f.submit(taskShape)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/decision")
		})
	}
}

// BenchmarkDecisionInAFullFleet measures the same while a tenth more work waits
// than runs.
func BenchmarkDecisionInAFullFleet(b *testing.B) {
	for _, c := range []struct {
		name  string
		cells int
		today bool
		slots int
	}{
		{"today cells=7 accounts=4", 7, true, 8},
		{"cells=6 accounts=110", 6, false, 20},
		{"cells=60 accounts=110", 60, false, 20},
		{"cells=1600 accounts=110", 1600, false, 20},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(c.cells, c.today)
			for range c.cells * 8 * c.slots * 11 / 10 {
				f.submit(taskShape)
			}
			if f.core.Waiting() == 0 {
				b.Fatal("nothing waits")
			}
			b.ReportAllocs()
			for b.Loop() {
				f.endOne()
				f.submit(taskShape)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/decision")
		})
	}
}

// BenchmarkCancel measures the cancel of waiting work in a long queue.
func BenchmarkCancel(b *testing.B) {
	for _, waiting := range []int{1000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newBenchFleet(1, true)
			whole := size
			for range 8 + waiting {
				f.submit(whole)
			}
			first := 9
			b.ReportAllocs()
			for b.Loop() {
				f.step(Cancelled{Key: model.Key(fmt.Sprint("k", first))})
				first++
				f.submit(whole)
			}
		})
	}
}

// BenchmarkConfigured measures a configuration that leaves the plan as it is.
func BenchmarkConfigured(b *testing.B) {
	for _, cells := range []int{6, 60, 1600} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			f := newBenchFleet(cells, false)
			docs := []*config.Document{benchDoc(cells, false), benchDoc(cells, false)}
			version := config.Version(1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				f.step(Configured{Config: &config.Versioned{Version: version, Document: *docs[version%2]}})
			}
		})
	}
}

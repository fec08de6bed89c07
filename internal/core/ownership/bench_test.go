package ownership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

// manyTargets gives n cells of eight workers and n key groups of 24 workers.
func manyTargets(n int) []Target {
	var ts []Target
	for i := range n {
		c := Target{Scope: model.CellScope(model.CellID(fmt.Sprintf("c%d", i)))}
		g := Target{Scope: model.GroupScope(model.GroupID(i))}
		for w := range 24 {
			id := model.WorkerID(fmt.Sprintf("w%d-%d", i, w))
			if w < 8 {
				c.Workers = append(c.Workers, model.Worker{ID: id})
			}
			if w < 5 {
				g.Witnesses = append(g.Witnesses, id)
			}
			g.Workers = append(g.Workers, model.Worker{ID: id})
		}
		ts = append(ts, c, g)
	}
	return ts
}

func owning(n int) *bench {
	b := newBench("a")
	b.c.set.ClaimEvery = time.Nanosecond
	b.hostList("a")
	b.configure(manyTargets(n)...)
	for i := 0; b.c.OwnedCount() < 2*n && i < 40*n; i++ {
		b.wait(50 * time.Millisecond)
		b.did = nil
	}
	return b
}

// BenchmarkTick is one tick and its answers, per size of what is owned.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("%d cells and groups", n), func(b *testing.B) {
			x := owning(n)
			if x.c.OwnedCount() != 2*n {
				b.Fatalf("owns %d", x.c.OwnedCount())
			}
			b.ReportAllocs()
			for b.Loop() {
				x.now = x.now.Add(50 * time.Millisecond)
				x.step(Tick{})
				x.did = x.did[:0]
			}
		})
	}
}

// BenchmarkMemory reports the bytes that one cell and one group take.
func BenchmarkMemory(b *testing.B) {
	const n = 64
	for b.Loop() {
		before := heap()
		x := owning(n)
		x.did = nil
		b.ReportMetric(float64(heap()-before)/n, "B/cell+group")
		runtime.KeepAlive(x)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

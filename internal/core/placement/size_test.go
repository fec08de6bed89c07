package placement

import (
	"fmt"
	"runtime"
	"testing"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// heapBytes gives the live heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory measures what a core keeps of cells, running tasks and waiting work.
func BenchmarkMemory(b *testing.B) {
	const cells = 60
	for b.Loop() {
		empty := heapBytes()
		f := newBenchFleet(cells, false)
		owned := heapBytes()
		const tasks = cells * 131
		for range tasks {
			f.submit(taskShape)
		}
		running := heapBytes()
		const waits = 20000
		for f.core.Waiting() < waits {
			f.submit(taskShape)
		}
		waiting := heapBytes()
		b.ReportMetric((owned-empty)/cells, "bytes/cell")
		b.ReportMetric((running-owned)/tasks, "bytes/task")
		b.ReportMetric((waiting-running)/waits, "bytes/waiting")
		runtime.KeepAlive(f)
	}
}

// BenchmarkGang measures a gang of 512 from its submission to its end.
func BenchmarkGang(b *testing.B) {
	for _, cells := range []int{60, 1600} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			f := newBenchFleet(cells, false)
			b.ReportAllocs()
			for b.Loop() {
				f.n++
				f.step(Submitted{Attempt: 1, Work: model.Work{
					Key: model.Key(fmt.Sprint("g", f.n)), Account: "a109", Kind: "gang",
					Members: 512, Shape: taskShape, Idempotent: true, Preemptible: true,
				}})
				if len(f.leases) != 512 {
					b.Fatalf("%d members begun", len(f.leases))
				}
				f.step(Started{Key: f.keys[0]})
				f.keys = f.keys[:0]
				for _, p := range f.leases {
					f.step(Ended{Worker: p.Worker, Ending: platform.Ending{Lease: p.Lease, State: platform.EndDone}})
				}
				f.leases = f.leases[:0]
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/512, "ns/member")
		})
	}
}

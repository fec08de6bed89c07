package ledger

import (
	"runtime"
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

// BenchmarkRequest is one request from its submission to its answer.
func BenchmarkRequest(b *testing.B) {
	x := newBench()
	x.c.keepKeys = 10_000
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		k := keyN(x.now, n)
		x.c.Step(x.now, Submitted{Waiter: 1, Sum: 7, Work: model.Work{Key: k, Account: "a", Members: 1}})
		x.c.Step(x.now, Begun{Key: k, Attempt: 1, Parts: []Trace{{Worker: "w", Lease: "l"}}})
		x.c.Step(x.now, Answered{Key: k, Attempt: 1, Result: model.Result{Outcome: model.OutcomeDone}})
		if n%1000 == 0 {
			x.now = x.now.Add(time.Millisecond)
			x.c.Step(x.now, Tick{})
		}
	}
}

// BenchmarkMemory reports the bytes that one remembered key takes.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heap()
		x := newBench()
		for i := range n {
			k := keyN(x.now, i)
			x.c.Step(x.now, Submitted{Waiter: 1, Sum: 7, Work: model.Work{Key: k, Account: "a", Members: 1}})
			x.c.Step(x.now, Answered{Key: k, Attempt: 1, Result: model.Result{Outcome: model.OutcomeDone, Answer: make([]byte, 100)}})
		}
		b.ReportMetric(float64(heap()-before)/n, "B/key")
		runtime.KeepAlive(x)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package link_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// newBenchLink returns a pool and the address of a server with the echo handler.
func newBenchLink(b *testing.B) (*link.Pool, string) {
	b.Helper()
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	mux := http.NewServeMux()
	mux.Handle(link.Path, s)
	hs := httptest.NewServer(mux)
	p := link.NewPool(link.PoolOptions{Region: "far"})
	b.Cleanup(func() {
		_ = p.Close()
		_ = s.Shutdown(context.Background())
		hs.Close()
	})
	return p, hs.Listener.Addr().String()
}

func newSubmit(body int) wire.Submit {
	return wire.Submit{Sum: 1 << 60, Work: model.Work{
		Key: "0190c2a4-7b3e-7c11-8e2d-0123456789ab", Account: "orders", Kind: "reservation",
		Deadline: time.Unix(1_800_000_000, 5), Submitted: time.Unix(1_800_000_000, 1), Members: 1,
		Shape: model.Shape{Slots: 1, CPUMilli: 1000, MemoryMB: 2048}, Body: make([]byte, body),
	}}
}

func totalBytes(p *link.Pool) (n uint64) {
	for _, c := range p.ByteCounts() {
		n += c.SentBytes + c.ReceivedBytes
	}
	return n
}

// BenchmarkCall measures the cost of sequential calls, by the size of request and
// answer.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			p, addr := newBenchLink(b)
			req := newSubmit(size)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := link.Call[wire.Submit, wire.SubmitReply](context.Background(), p, addr, wire.KindSubmit, req); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(totalBytes(p))/float64(b.N)-2*float64(size), "overhead-B/op")
		})
	}
}

// BenchmarkInFlight measures the throughput and latency of one link with many calls
// open at the same time.
func BenchmarkInFlight(b *testing.B) {
	for _, open := range []int{1, 10, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("calls=%d", open), func(b *testing.B) {
			p, addr := newBenchLink(b)
			req := newSubmit(1 << 10)
			var left atomic.Int64
			left.Store(int64(b.N))
			var mu sync.Mutex
			all := hdrhistogram.New(1, int64(time.Minute), 3)
			begun := time.Now()
			var wg sync.WaitGroup
			for range open {
				wg.Go(func() {
					own := hdrhistogram.New(1, int64(time.Minute), 3)
					for left.Add(-1) >= 0 {
						sent := time.Now()
						if _, err := link.Call[wire.Submit, wire.SubmitReply](context.Background(), p, addr, wire.KindSubmit, req); err != nil {
							b.Error(err)
							return
						}
						_ = own.RecordValue(int64(time.Since(sent)))
					}
					mu.Lock()
					defer mu.Unlock()
					all.Merge(own)
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(begun).Seconds(), "calls/s")
			b.ReportMetric(float64(all.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(all.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkIdleLink measures the processor time that the state machines of an open
// link without calls need; each iteration simulates one second.
func BenchmarkIdleLink(b *testing.B) {
	l := core.DefaultLimits()
	now := time.Unix(0, 0)
	d, a := core.NewDialer(now, 1, l, nil), core.NewAcceptor(now, l, nil)
	b.ReportAllocs()
	for b.Loop() {
		for range 4 {
			now = now.Add(l.HeartbeatInterval / 4)
			for _, m := range []interface {
				Step(time.Time, core.Event) []core.Action
			}{d, a} {
				m.Step(now, core.Tick{})
				m.Step(now, core.Writable{})
				m.Step(now, core.Received{Frame: frame.Frame{Type: frame.Heartbeat, Call: 1}})
			}
		}
	}
}

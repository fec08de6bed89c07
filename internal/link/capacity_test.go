package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// cpuTime returns the processor time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleLinks measures the memory, processor time and traffic of an open link
// without calls, both ends together. Run it with -benchtime 1x.
func BenchmarkIdleLinks(b *testing.B) {
	const links, seconds = 200, 5
	for b.Loop() {
		s := link.NewServer(link.ServerOptions{})
		link.Handle(s, wire.KindSubmit, echo)
		mux := http.NewServeMux()
		mux.Handle(link.Path, s)
		hs := httptest.NewServer(mux)
		before := memoryInUse()
		pools := make([]*link.Pool, links)
		for i := range pools {
			pools[i] = link.NewPool(link.PoolOptions{Limits: core.Limits{IdleTimeout: time.Hour}})
			if _, err := link.Call[wire.Submit, wire.SubmitReply](context.Background(), pools[i], hs.Listener.Addr().String(), wire.KindSubmit, wire.Submit{}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/links, "B/link")
		var sent uint64
		for _, p := range pools {
			sent -= totalBytes(p)
		}
		used := cpuTime(b)
		time.Sleep(seconds * time.Second)
		b.ReportMetric(float64(cpuTime(b)-used)/links/seconds/1e3, "cpu-us/link/s")
		for _, p := range pools {
			sent += totalBytes(p)
			_ = p.Close()
		}
		b.ReportMetric(float64(sent)/links/seconds, "frame-B/link/s")
		_ = s.Shutdown(context.Background())
		hs.Close()
	}
}

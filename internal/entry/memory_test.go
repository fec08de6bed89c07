package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/entry"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkHeldRequests measures the memory per waiting request, by the size of its
// body. It includes the scheduler's handler, which does nothing. Run it with
// -benchtime 1x.
func BenchmarkHeldRequests(b *testing.B) {
	const held = 1000
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			for b.Loop() {
				srv := link.NewServer(link.ServerOptions{})
				link.Handle(srv, wire.KindSubmit, func(ctx context.Context, _ link.Peer, _ wire.Submit) (wire.SubmitReply, error) {
					<-ctx.Done()
					return wire.SubmitReply{}, ctx.Err()
				})
				mux := http.NewServeMux()
				mux.Handle(link.Path, srv)
				schedulerServer := httptest.NewServer(mux)
				hosts := &hostList{}
				hosts.set(schedulerServer.Listener.Addr().String())
				doc := document()
				doc.Defaults.RatePerSecond, doc.Defaults.Concurrency = 1e9, 10_000
				pool := link.NewPool(link.PoolOptions{})
				e, err := entry.New(entry.Options{Pool: pool, Hosts: hosts, Configs: fixedConfig{&config.Versioned{Version: 1, Document: doc}}})
				if err != nil {
					b.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				go e.Run(ctx)
				entryServer := httptest.NewServer(e.Handler())
				for !e.Ready() {
					time.Sleep(time.Millisecond)
				}
				before := memoryInUse()
				conns := make([]net.Conn, held)
				for i := range conns {
					if conns[i], err = net.Dial("tcp", entryServer.Listener.Addr().String()); err != nil {
						b.Fatal(err)
					}
					body := fmt.Sprintf(`{"key":"k%d","account":"farms","kind":"x","timeout":"1h","body":"%s"}`, i, strings.Repeat("x", size))
					if _, err := fmt.Fprintf(conns[i], "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
						b.Fatal(err)
					}
				}
				for e.OpenRequests() < held {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(200 * time.Millisecond) // until all have reached the scheduler
				b.ReportMetric(float64(memoryInUse()-before)/held, "B/request")
				for _, c := range conns {
					_ = c.Close()
				}
				cancel()
				_ = pool.Close()
				entryServer.Close()
				schedulerServer.Close()
			}
		})
	}
}

package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/entry"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// BenchmarkRequest measures requests over HTTP through the entry host and a link to
// a scheduler that answers at once, with a number of requests open.
func BenchmarkRequest(b *testing.B) {
	for _, open := range []int{1, 10, 100, 400} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			url := benchSystem(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: open}}
			defer client.CloseIdleConnections()
			var left atomic.Int64
			left.Store(int64(b.N))
			var mu sync.Mutex
			total := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			start := time.Now()
			var wg sync.WaitGroup
			for range open {
				wg.Go(func() {
					own := hdrhistogram.New(1, int64(time.Minute), 3)
					for left.Add(-1) >= 0 {
						sent := time.Now()
						if err := sendRequest(client, url); err != nil {
							b.Error(err)
							return
						}
						_ = own.RecordValue(int64(time.Since(sent)))
					}
					mu.Lock()
					defer mu.Unlock()
					total.Merge(own)
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "requests/s")
			b.ReportMetric(float64(total.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(total.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

func sendRequest(client *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/requests", strings.NewReader(`{"account":"farms","kind":"x","body":{"n":1}}`))
	if err != nil {
		return err
	}
	req.Header.Set("Idempotency-Key", newKey())
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// benchSystem starts an entry host in front of a scheduler that answers with the
// work's body, and returns its URL.
func benchSystem(b *testing.B) string {
	b.Helper()
	srv := link.NewServer(link.ServerOptions{})
	link.Handle(srv, wire.KindSubmit, func(_ context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
		return doneReply(q.Work.Body), nil
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
	b.Cleanup(func() {
		cancel()
		entryServer.Close()
		_ = pool.Close()
		schedulerServer.Close()
	})
	for !e.Ready() {
		time.Sleep(time.Millisecond)
	}
	return entryServer.URL
}

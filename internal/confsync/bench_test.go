package confsync

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// BenchmarkLinkBytes reports the bytes on a link, in both directions together, of
// asking a host that has nothing newer and of pushing one small change.
func BenchmarkLinkBytes(b *testing.B) {
	ctx := context.Background()
	peerStore := New(Options{})
	doc := &config.Document{Accounts: []config.Account{{Name: "lab"}}}
	peerStore.step(ctx, settings.Offered{Update: &settings.Update{Snapshot: &settings.Snapshot{Version: 1, Through: 1, Document: doc}}})
	srv := link.NewServer(link.ServerOptions{Self: "far"})
	peerStore.RegisterHandlers(srv)
	mux := http.NewServeMux()
	mux.Handle(link.Path, srv)
	hs := httptest.NewServer(mux)
	defer hs.Close()
	pool := link.NewPool(link.PoolOptions{Self: "near"})
	defer func() { _ = pool.Close() }()
	peers := linkPeers{pool: pool}
	addr := strings.TrimPrefix(hs.URL, "http://")

	version := uint64(1)
	ask := func() wire.ConfigPush { return wire.ConfigPush{Version: version} }
	push := func() wire.ConfigPush {
		version++
		concurrency := int(version)
		rec := settings.Record{ID: fmt.Sprintf("01a23e67-493f-75ed-b59f-%012d", version), Base: config.Version(version - 1), Author: "ada", Reason: "auditors run checks all week", At: time.Now()}
		rec.Change.Ops = []settings.Op{{PutException: &config.Exception{ID: "lab-week", Reason: rec.Reason, Account: "lab", Concurrency: &concurrency}}}
		data, err := settings.EncodeUpdate(&settings.Update{Records: []settings.Accepted{{Version: config.Version(version), Offset: 1, Record: rec}}})
		if err != nil {
			b.Fatal(err)
		}
		return wire.ConfigPush{Version: version, Record: data}
	}
	for name, make := range map[string]func() wire.ConfigPush{"ask": ask, "push": push} {
		b.Run(name, func(b *testing.B) {
			before, n := configBytes(pool), 0
			for b.Loop() {
				have, err := peers.Exchange(ctx, addr, make())
				if err != nil || have.Version != version {
					b.Fatalf("version %d, want %d: %v", have.Version, version, err)
				}
				n++
			}
			b.ReportMetric(float64(configBytes(pool)-before)/float64(n), "B/call")
		})
	}
}

func configBytes(p *link.Pool) uint64 {
	var sum uint64
	for _, c := range p.ByteCounts() {
		if c.Kind == wire.KindConfig.String() {
			sum += c.SentBytes + c.ReceivedBytes
		}
	}
	return sum
}

package link

import (
	"context"
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/wire"
)

func TestUnusedEndpointsAreRemoved(t *testing.T) {
	p := NewPool(PoolOptions{Seed: 1})
	defer p.Close()
	for port := range 5 {
		addr := fmt.Sprintf("127.0.0.1:%d", port+1)
		if _, err := Call[wire.Submit, wire.SubmitReply](context.Background(), p, addr, wire.KindSubmit, wire.Submit{}); err == nil {
			t.Fatal("call to a closed port succeeded")
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(time.Now())
	if len(p.endpoints) != 5 {
		t.Errorf("%d endpoints right after their calls, want 5", len(p.endpoints))
	}
	p.prune(time.Now().Add(2 * endpointTTL))
	if len(p.endpoints) != 0 {
		t.Errorf("%d endpoints long after their calls, want 0", len(p.endpoints))
	}
}

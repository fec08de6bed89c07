package instance

import (
	"testing"
	"time"
)

// TestOwnerIsReplacedWhileTheStoreTakesSixTenthsOfASecond guards against a claim that waits for a
// probe: a store that serves every call, later than probeTimeout, kept the cell without an owner.
func TestOwnerIsReplacedWhileTheStoreTakesSixTenthsOfASecond(t *testing.T) {
	r := newRig(t, 0)
	r.platformTerm = true
	for n := range 6 {
		r.addInstance(n)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	time.Sleep(3 * time.Second) // witnesses are named
	for _, n := range r.nodes {
		n.conn.latency.Store(int64(600 * time.Millisecond))
		n.conn.longReads.Store(true)
	}
	time.Sleep(3 * time.Second)
	first := r.owner()
	if first == nil {
		t.Fatal("the owner gave up")
	}
	first.kill()
	began := time.Now()
	for r.owner() == nil && time.Since(began) < 30*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("without an owner for %v", time.Since(began))
	if d := time.Since(began); d > 8*time.Second {
		t.Errorf("without an owner for %v", d)
	}
}

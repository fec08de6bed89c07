package instance

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// announceGoneMembers adds records of instances that accept connections and answer nothing.
func (r *rig) announceGoneMembers(number int) {
	r.t.Helper()
	for n := range number {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { _ = ln.Close() })
		v, err := encodeRecord(memberRecord{Addr: ln.Addr().String()})
		if err != nil {
			r.t.Fatal(err)
		}
		r.store.Put(topicMembers, fmt.Sprintf("gone-%d", n), v)
	}
}

// TestWitnessesAreNamedBesideManyInstancesThatAreGone guards against a search for witnesses that
// names nobody before it has asked all instances that ever announced themselves: records of members
// are never removed.
func TestWitnessesAreNamedBesideManyInstancesThatAreGone(t *testing.T) {
	r := newRig(t, 0)
	r.announceGoneMembers(60)
	for n := range 3 {
		r.addInstance(n)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	began := time.Now()
	r.waitFor("witnesses", func() bool { o := r.owner(); return o != nil && len(o.inst.latestTermRecord().Witnesses) > 0 })
	if d := time.Since(began); d > 4*time.Second {
		t.Errorf("witnesses were named after %v, and the interval between two checks is 4 s", d)
	} else {
		t.Logf("after %v", d)
	}
}

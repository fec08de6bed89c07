package fitness

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// network is a fixed network: what each instance reaches of one sample.
type network []Reached

// askedPeers is the number of peers that are asked in a turn.
const askedPeers = 5

// asked returns the peers that an owner asks in a turn.
func (n network) asked(owner, turn int) []Peer {
	var out []Peer
	for k := range min(askedPeers, len(n)-1) {
		at := (owner + 1 + (turn*askedPeers+k)%(len(n)-1)) % len(n)
		out = append(out, Peer{Addr: fmt.Sprint(at), Reached: n[at]})
	}
	return out
}

// successor returns the owner that follows one in d, or the same.
func (n network) successor(owner int, handovers int64, d time.Duration) int {
	core := New(0, handovers)
	for now := time.Duration(0); now < d; now += tick {
		for _, a := range core.Step(now, Observed{Poor: true}) {
			p, ok := a.(Probe)
			if !ok {
				continue
			}
			for _, r := range core.Step(now, Probed{Own: n[owner], Peers: n.asked(owner, p.Turn)}) {
				var next int
				_, _ = fmt.Sscan(r.(Release).Successor, &next)
				return next
			}
		}
	}
	return owner
}

// maxChanges is the largest number of changes of owner in a fixed network with samples of 16: each
// owner reaches a third more workers than the one before, and one more at least.
const maxChanges = 9

// TestTermSettlesInAFixedNetwork guards against a term that goes round between owners of which none
// reaches all workers.
func TestTermSettlesInAFixedNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := network(rapid.SliceOfN(rapid.Map(rapid.Uint32Range(0, 1<<MaxSample-1), func(m uint32) Reached { return Reached(m) }), 2, 12).Draw(t, "network"))
		owner, changes := 0, int64(0)
		for {
			next := n.successor(owner, changes, 5*time.Minute)
			if next == owner {
				break
			}
			if n[next].Count() <= n[owner].Count() {
				t.Fatalf("from an owner of %d workers to one of %d", n[owner].Count(), n[next].Count())
			}
			owner = next
			if changes++; changes > maxChanges {
				t.Fatalf("%d changes of owner", changes)
			}
		}
		n.checkOwner(t, owner)
	})
}

// checkOwner fails if a peer reaches more than the owner by a quarter of what can be reached at all.
func (n network) checkOwner(t *rapid.T, owner int) {
	var all Reached
	for _, r := range n {
		all |= r
	}
	for _, r := range n {
		if gain := r.Count() - n[owner].Count(); gain > 0 && minGain*gain >= all.Count() {
			t.Fatalf("of %d workers the owner reaches %d, a peer %d", all.Count(), n[owner].Count(), r.Count())
		}
	}
}

package instance

import (
	"testing"
	"time"
)

// witnessedRig returns a rig in which each instance but the owner is a witness, and the owner.
func witnessedRig(t *testing.T, instances int) (*rig, *node) {
	t.Helper()
	r := newRig(t, instances)
	r.waitFor("all are witnesses", func() bool {
		o := r.owner()
		return o != nil && len(o.inst.latestTermRecord().Witnesses) == min(instances-1, 5)
	})
	return r, r.owner()
}

// Nothing told that an owner does not answer its peers: each instance logged the state of its own links.
func TestWitnessesTellForHowLongTheOwnerDoesNotAnswer(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]func(*node){
		"without links":         (*node).disconnect,
		"with its state locked": func(n *node) { n.inst.owner.Load().mu.Lock() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, owner := witnessedRig(t, 4)
			time.Sleep(1500 * time.Millisecond)
			for _, n := range r.nodes {
				if s := n.inst.ownerSilentFor(); s != 0 {
					t.Errorf("%s: silent for %v before", n.inst.Settings.Name, s)
				}
			}
			o := owner.inst.owner.Load()
			cut(owner)
			for _, n := range r.nodes {
				if n != owner {
					r.waitFor("silence of 2 s", func() bool { return n.inst.ownerSilentFor() > 2*time.Second })
				}
			}
			if name == "with its state locked" {
				o.mu.Unlock()
			}
		})
	}
}

package instance

import (
	"runtime/debug"
	"testing"
)

// gcPercent returns by how much the heap grows between two collections.
func gcPercent() int {
	p := debug.SetGCPercent(-1)
	debug.SetGCPercent(p)
	return p
}

// An owner short of processor time spent an eighth of it on scans of its stacks.
func TestOwnerCollectsGarbageLessOften(t *testing.T) {
	defer debug.SetGCPercent(gcPercent())
	r := newRig(t, 0)
	r.memoryLimited = true
	r.addInstance(0)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	if p := gcPercent(); p != ownerGCPercent {
		t.Errorf("%d %% at the owner", p)
	}
	r.nodes[0].stop() // it releases its term
	r.waitFor("usual collections", func() bool { return gcPercent() == idleGCPercent })
}

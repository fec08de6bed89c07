package term

import (
	"testing"
	"time"
)

// TestInstanceThatWasUnfitClaimsAsNamedSuccessor guards against a cell without an owner because the only
// instance that reaches the workers now has lately released a term as unfit.
func TestInstanceThatWasUnfitClaimsAsNamedSuccessor(t *testing.T) {
	x := newTrio(t)
	x.down[x.instances[2]] = true
	x.release(1)
	x.run(4500 * time.Millisecond)
	if x.instances[1].ownedTerm != 2 {
		t.Fatalf("the successor owns term %d", x.instances[1].ownedTerm)
	}
	x.instances[1].step(x.now, Unfit{Term: 2, Successor: x.instances[0].core.addr})
	x.run(time.Second)
	if got := x.instances[0].ownedTerm; got != 3 {
		t.Errorf("the named successor owns term %d a second after the release", got)
	}
}

// TestInstanceThatWasUnfitReplacesALostSuccessor guards against a cell of two in which the loss of the next
// owner leaves nobody: the former one claims nothing for the rest of its 10 s.
func TestInstanceThatWasUnfitReplacesALostSuccessor(t *testing.T) {
	x := newTrio(t)
	x.down[x.instances[2]] = true
	x.release(1)
	x.run(time.Second)
	if x.instances[1].ownedTerm != 2 {
		t.Fatalf("the successor owns term %d", x.instances[1].ownedTerm)
	}
	x.down[x.instances[1]] = true
	x.run(DefaultSettings().StaleAfter + time.Second)
	if got := x.instances[0].ownedTerm; got != 3 {
		t.Errorf("owns term %d %v after the loss of the only other instance", got, DefaultSettings().StaleAfter+time.Second)
	}
}

package instance

import (
	"context"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
)

// A question to the owner was cancelled when the record that it was about was confirmed. The
// owner then counted as not answering, and was tried last for 3 s.
func TestCancelledCallDoesNotDemoteAPeer(t *testing.T) {
	i := &Instance{}
	i.members.lastFailure = make(map[string]time.Duration)
	i.members.set(nil, []string{"a:1", "b:1"}, "c:1")
	ctx, cancel := context.WithCancel(t.Context())
	i.recordPeerAnswer(ctx, "a:1", external.ErrOutcomeUnknown)
	cancel()
	i.recordPeerAnswer(ctx, "b:1", external.ErrOutcomeUnknown)
	if got := i.members.candidates(boottime(), ""); !slices.Equal(got, []string{"b:1", "a:1"}) {
		t.Errorf("order %v, want the one that did not answer last", got)
	}
}

// An instance that the store refused asked the same three peers each time. If the store
// refused them too, it never learned of a newer policy. The owner was not among them if the
// list of members had been read before the owner was added.
func TestAllPeersAreAskedInTurnAndTheOwnerEachTime(t *testing.T) {
	i := &Instance{}
	i.members.lastFailure = make(map[string]time.Duration)
	all := []string{"a:1", "b:1", "d:1", "e:1", "f:1", "g:1", "h:1"}
	i.members.set(nil, all, "c:1")
	asked := make(map[string]bool)
	for turn := range len(all) {
		peers := i.members.inTurn(boottime(), "owner:1", turn)
		if len(peers) != maxPeersPerCall || peers[0] != "owner:1" {
			t.Errorf("turn %d: %v, want the owner first", turn, peers)
		}
		for _, p := range peers {
			asked[p] = true
		}
	}
	if len(asked) != len(all)+1 {
		t.Errorf("only %d peers were asked", len(asked))
	}
	i.members.set(nil, nil, "c:1")
	if peers := i.members.inTurn(boottime(), "owner:1", 3); !slices.Equal(peers, []string{"owner:1"}) {
		t.Errorf("without members: %v", peers)
	}
}

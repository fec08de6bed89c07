package instance

import (
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
)

// votes returns the latest vote of each instance that has voted, by name.
func (r *rig) votes() map[string]term.Vote {
	r.t.Helper()
	p, err := r.store.Newest(r.t.Context(), topicTerm)
	if err != nil {
		r.t.Fatal(err)
	}
	out := make(map[string]term.Vote)
	for _, rec := range p.Records {
		if name, ok := strings.CutPrefix(rec.Key, keyVote); ok {
			var v term.Vote
			if err := decodeRecord(rec.Value, &v); err != nil {
				r.t.Fatal(err)
			}
			out[name] = v
		}
	}
	return out
}

// checkOwnerStays fails if the instance does not own one term for the given time, and returns the votes
// after it.
func (r *rig) checkOwnerStays(owner *node, d time.Duration) map[string]term.Vote {
	r.t.Helper()
	before := owner.inst.ownedTermNumber()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := owner.inst.ownedTermNumber(); got != before || got == 0 {
			r.t.Fatalf("the owner of term %d has term %d; votes: %+v", before, got, r.votes())
		}
	}
	return r.votes()
}

// refuseLinks cuts the links between two instances.
func (n *node) refuseLinks(o *node, refused bool) {
	n.gate.refuse(o.inst.Settings.Name, refused)
	o.gate.refuse(n.inst.Settings.Name, refused)
}

// TestOwnerThatOnePeerDoesNotReachKeepsItsTerm guards against a single vote that ends a term. The callers
// of that peer are told the state of their jobs by way of others.
func TestOwnerThatOnePeerDoesNotReachKeepsItsTerm(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 5)
	other := r.nonOwner()
	r.waitFor("a job is accepted", func() bool { return r.submit(other, "j", 2) == nil })
	owner.refuseLinks(other, true)
	r.waitFor("a vote", func() bool { return len(r.votes()) > 0 })
	votes := r.checkOwnerStays(owner, 3*time.Second)
	if len(votes) != 1 || votes[other.inst.Settings.Name].Reason != term.VoteSilent {
		t.Errorf("votes: %+v", votes)
	}
	if !r.isComplete(other, "j")() {
		t.Error("the peer is not told the state of a job")
	}
}

// TestWitnessThatNobodyReachesDoesNotVote guards against votes by an instance that is itself cut off.
func TestWitnessThatNobodyReachesDoesNotVote(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 4)
	other := r.nonOwner()
	for _, n := range r.nodes {
		if n != other {
			other.refuseLinks(n, true)
		}
	}
	if votes := r.checkOwnerStays(owner, 10*time.Second); len(votes) > 0 {
		t.Errorf("votes: %+v", votes)
	}
	if other.inst.ownerSilentFor() < 3*time.Second {
		t.Error("the instance was not cut off")
	}
}

// TestSplitPeersDoNotHandTheTermRound guards against two halves that vote against each other's owner.
func TestSplitPeersDoNotHandTheTermRound(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 6)
	for a, n := range r.nodes {
		for b, m := range r.nodes[:a] {
			if (a < 3) != (b < 3) {
				n.refuseLinks(m, true)
			}
		}
	}
	before := owner.inst.ownedTermNumber()
	time.Sleep(20 * time.Second)
	if got := r.nodes[0].inst.latestTermRecord().Term; got > before+1 {
		t.Errorf("%d further owners in 20 s", got-before)
	}
}

// With one witness, that one decides.
func TestOneOfTwoInstancesTakesOver(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 2)
	other := r.nonOwner()
	r.waitFor("a job is accepted", func() bool { return r.submit(other, "j", 2) == nil })
	owner.disconnect()
	r.waitFor("the other owns the cell", func() bool { return other.inst.owner.Load() != nil })
	r.waitFor("complete", r.isComplete(other, "j"))
	r.checkOwnerStays(other, 7*time.Second)
	r.checkFleet()
}

// TestOwnerWhoseStateIsLockedIsReplaced guards against an owner whose links and renewals go on while
// nothing of its cell does.
func TestOwnerWhoseStateIsLockedIsReplaced(t *testing.T) {
	t.Parallel()
	checkWorkGoesOn(t, func(n *node) {
		locked := n.inst.owner.Load()
		locked.mu.Lock()
		t.Cleanup(locked.mu.Unlock)
	})
}

// TestOwnerThatHardlyRunsIsReplaced guards against an owner that runs for 0.4 s of every 3 s and whose
// renewals are stored nevertheless.
func TestOwnerThatHardlyRunsIsReplaced(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 5)
	began := time.Now()
	owner.gate.stop(func(string) time.Duration {
		at := time.Since(began) % (3 * time.Second)
		return max(0, 3*time.Second-400*time.Millisecond-at)
	})
	r.waitFor("another owner", func() bool { o := r.owner(); return o != nil && o != owner })
	t.Logf("after %v", time.Since(began))
}

// TestOwnerThatIsSlowForAMomentKeepsItsTerm guards against votes for a pause that is over.
func TestOwnerThatIsSlowForAMomentKeepsItsTerm(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(r *rig, owner *node){
		"it was stopped for 2 s": func(_ *rig, owner *node) {
			until := time.Now().Add(2 * time.Second)
			owner.gate.stop(func(string) time.Duration { return time.Until(until) })
		},
		"it refused links for 2 s": func(r *rig, owner *node) {
			for _, n := range r.nodes {
				if n != owner {
					owner.gate.refuse(n.inst.Settings.Name, true)
					time.AfterFunc(2*time.Second, func() { owner.gate.refuse(n.inst.Settings.Name, false) })
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, owner := witnessedRig(t, 5)
			time.Sleep(5 * time.Second) // the least tenure is over
			disturb(r, owner)
			if votes := r.checkOwnerStays(owner, 7*time.Second); len(votes) > 0 {
				t.Errorf("votes: %+v", votes)
			}
		})
	}
}

package term

import (
	"testing"
	"time"
)

// unansweredYield has contender 1 fail to ask the owner for its term, and returns whether it requests
// the term by the store.
func (p *votePlay) unansweredYield(asked, answered int) bool {
	for _, a := range p.all[1].core.Step(p.now, YieldUnanswered{Term: 1, Asked: asked, Answered: answered}) {
		if w, ok := a.(WriteVote); ok {
			p.topic.entries = append(p.topic.entries, entry{vote: &w.Vote})
			return w.Vote == Vote{Term: 1, Voter: idOf(1), Reason: VoteStronger, Addr: p.all[1].core.addr}
		}
	}
	return false
}

// TestWeakOwnerThatAStrongInstanceDoesNotReachYields guards against a weak owner that is too busy to
// answer the request for its term.
func TestWeakOwnerThatAStrongInstanceDoesNotReachYields(t *testing.T) {
	p := newVotePlay(t, 5, time.Second)
	p.owner().core.settings.ClaimDelay = minYieldDelay
	if !p.unansweredYield(4, 3) {
		t.Fatal("the term is not requested by the store")
	}
	p.runFor(time.Second)
	if len(p.owner().lost) > 0 {
		t.Fatal("it yields before its least tenure")
	}
	p.runFor(2 * time.Second)
	if got := p.topic.latest(); got.Term != 2 || got.Handovers != 0 {
		t.Errorf("then %+v", got)
	}
}

func TestTermIsRequestedByTheStoreBy(t *testing.T) {
	for name, c := range map[string]struct {
		change          func(p *votePlay)
		asked, answered int
		want            bool
	}{
		"a witness that most others answer":  {func(*votePlay) {}, 4, 2, true},
		"the only witness":                   {func(*votePlay) {}, 0, 0, true},
		"no witness that few others answer":  {func(*votePlay) {}, 4, 1, false},
		"nobody who is no witness":           {func(p *votePlay) { p.all[1].core.latest.Witnesses = p.witnesses(2, 3) }, 4, 4, false},
		"nobody whom the store turns away":   {func(p *votePlay) { p.all[1].core.storeOK = false }, 4, 4, false},
		"nobody after a request of another":  {func(p *votePlay) { p.topic.vote(1, 2, VoteStronger); p.runFor(time.Second) }, 4, 4, false},
		"nobody once the term is released":   {func(p *votePlay) { p.all[1].core.latest.Released = true }, 4, 4, false},
		"one whose earlier request has aged": {func(p *votePlay) { p.unansweredYield(4, 4); p.runFor(voteValidity + time.Second) }, 4, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newVotePlay(t, 5, time.Second)
			c.change(p)
			if got := p.unansweredYield(c.asked, c.answered); got != c.want {
				t.Errorf("requested: %v, want %v", got, c.want)
			}
		})
	}
}

// Each request costs the owner a conflict, so those that lead to nothing get rarer.
func TestRequestsByTheStoreAreBounded(t *testing.T) {
	p := newVotePlay(t, 5, time.Second)
	n := 0
	for range 3600 {
		if p.unansweredYield(4, 4) {
			n++
		}
		p.now += time.Second
	}
	if n < 5 || n > 20 {
		t.Errorf("%d requests in an hour", n)
	}
}

// An instance that was voted out is not asked to take the next term from a weak machine soon.
func TestVotedOutInstanceDoesNotRequestTheNextTerm(t *testing.T) {
	p := newVotePlay(t, 2, 6*time.Second)
	for _, c := range p.all[1:] {
		c.core.settings.ClaimDelay = minYieldDelay
	}
	p.votes(1, 2)
	p.runFor(handoverMemory - time.Second)
	if n := len(p.owner().yieldRequests); n > 0 {
		t.Fatalf("%d requests within a minute", n)
	}
	p.runFor(2 * time.Second)
	if len(p.owner().yieldRequests) == 0 {
		t.Error("no request after a minute")
	}
}

package term

import (
	"testing"
	"time"
)

// TestRequestedTermIsReleasedForTheInstanceThatRequestedIt guards against a weaker instance that reads the
// release sooner and claims the term that a strong one has requested.
func TestRequestedTermIsReleasedForTheInstanceThatRequestedIt(t *testing.T) {
	for name, request := range map[string]func(p *votePlay){
		"over a link": func(p *votePlay) {
			p.owner().step(p.now, YieldRequested{Term: 1, Addr: p.all[1].core.addr})
		},
		"by the store": func(p *votePlay) { p.unansweredYield(4, 3) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newVotePlay(t, 5, 4*time.Second)
			p.owner().core.settings.ClaimDelay = minYieldDelay
			p.all[1].core.settings.ClaimDelay = 500 * time.Millisecond // reads the release that much later
			request(p)
			p.runFor(time.Second)
			if got := p.topic.latest(); got.Term != 2 || got.Owner != p.all[1].core.self {
				t.Errorf("then %+v", got)
			}
		})
	}
}

package instance

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/fleet"
)

// slowTakeover is a store that accepts one record of the term, a claim, and refuses all renewals.
// It answers the takeover's reads of progress late.
type slowTakeover struct {
	external.Store
	readTime time.Duration
	claimed  atomic.Bool
}

func (s *slowTakeover) Append(ctx context.Context, a external.Append) (int64, error) {
	if a.Topic == topicTerm && s.claimed.Load() {
		return 0, eris.Wrap(external.ErrNotExecuted, "refused")
	}
	end, err := s.Store.Append(ctx, a)
	if a.Topic == topicTerm && err == nil {
		s.claimed.Store(true)
	}
	return end, err
}

func (s *slowTakeover) Newest(ctx context.Context, t external.Topic) (external.Page, error) {
	p, err := s.Store.Newest(ctx, t)
	if slices.Contains(topicsProgress, t) {
		sleep(ctx, s.readTime)
	}
	return p, err
}

// The term of a new owner counted as confirmed when its takeover ended. If that took longer than
// StartGrace and no renewal was confirmed meanwhile, it started tasks when the next owner might
// already have claimed.
func TestOwnerStartsNothingAfterATakeoverLongerThanItsConfirmation(t *testing.T) {
	r := newRig(t, 0)
	r.claimDelay = time.Minute
	acceptor := r.addInstance(0) // never claims
	r.waitFor("accepted", func() bool { return r.submit(acceptor, "j", 4) == nil })
	r.claimDelay = 0
	r.wrapStore = func(s external.Store) external.Store {
		return &slowTakeover{Store: s, readTime: 700 * time.Millisecond} // between StartGrace and ConfirmTimeout
	}
	owner := r.addInstance(1)
	r.waitFor("an owner", func() bool { return owner.inst.owner.Load() != nil })
	r.waitFor("the term lost", func() bool { return owner.inst.owner.Load() == nil })
	r.fleet.With(func(f *fleet.Fleet) {
		if f.Starts > 0 {
			t.Errorf("%d starts over 0.7 s after the claim, in a term that was never confirmed again; an owner may start for 0.5 s", f.Starts)
		}
	})
}

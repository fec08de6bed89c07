package instance

import (
	"context"
	"time"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

func (i *Instance) onPolicyQuery(ctx context.Context, _ link.Peer, q wire.PolicyQuery) (wire.PolicyReply, error) {
	i.awaitNewerPolicy(ctx, q)
	r := wire.PolicyReply{TermTopicAvailable: i.storeMonitor.available(topicTerm)}
	if q.CheckStore {
		r.TermTopicAvailable = i.storeMonitor.confirmAvailable(ctx, topicTerm)
	}
	r.Term = i.latestTermRecord()
	r.Drains = i.drainRecords()
	r.Offer = &wire.PolicyOffer{FromStore: i.policyFromStore.Load(), ReadAge: i.policyAge(), ContactAge: i.policyContactAge()}
	p := i.policy.Load()
	if p == nil {
		return r, nil
	}
	r.Version, r.Offer.Size, r.Offer.Sum = p.policy.Version, len(p.record), p.sum
	if p.policy.Version > q.Version && !q.Parts {
		r.Record = p.record
	}
	return r, nil
}

// awaitNewerPolicy waits, for q.Wait at most, while the policy in force is not newer than
// the query's and this instance is in contact with the store.
func (i *Instance) awaitNewerPolicy(ctx context.Context, q wire.PolicyQuery) {
	if q.Wait <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait, relayWait))
	defer cancel()
	for ctx.Err() == nil {
		changed := i.policyChanged.next()
		untilStale := relayMaxContactAge - i.policyContactAge()
		if i.policyInForce() > q.Version || untilStale < 0 || !i.policyFromStore.Load() {
			return
		}
		select {
		case <-changed:
		case <-time.After(untilStale + time.Millisecond):
		case <-ctx.Done():
		}
	}
}

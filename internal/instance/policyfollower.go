package instance

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"coltsfootmux/internal/core/relay"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/wire"
)

const (
	// relayWait is how long the first relay of a round may wait for a newer version before
	// it answers. A relay that is silent is noticed peerTimeout later.
	relayWait = 700 * time.Millisecond
	// relayReadWait replaces readWait at a relay, and relayMaxContactAge is the age of its
	// last contact with the store up to which others rely on it: one such wait, and two
	// round trips between regions.
	relayReadWait      = time.Second
	relayMaxContactAge = 1400 * time.Millisecond
	// relaysPerRound is how many relays are asked before the store is read instead, for
	// directReadTime.
	relaysPerRound = 3
	directReadTime = 3 * time.Second
	// firstMembersWait is how long the first read of the policy waits for the members.
	firstMembersWait = 300 * time.Millisecond
)

// policyFollower keeps the policy up to date, from the store or from relays.
type policyFollower struct {
	inst   *Instance
	reader *topicReader
	copy   policyCopy
	// plan is the last one, for the log.
	plan relay.Plan
	// turn is the number of the last round of questions to relays. It makes two relays take
	// turns, so that one that lags behind delays a version by one round only.
	turn int
	// directUntil is when relays are asked again after none of them has served.
	directUntil time.Duration
}

// followPolicy keeps the policy up to date until ctx ends.
func (i *Instance) followPolicy(ctx context.Context) {
	r := &topicReader{store: i.storeMonitor, topic: i.PolicyTopic, onProgress: i.recordPolicyContact}
	r.onSnapshot = func(p external.Page) { i.handlePolicySnapshot(p, r.took) }
	r.onPage = func(p external.Page) {
		i.handlePolicyRecords(p, r.took)
		r.skipSuperseded(p)
	}
	r.onError = func(err error) { i.policyReadFailed(err, r.took) }
	r.nextOffset = unread
	f := &policyFollower{inst: i, reader: r, copy: policyCopy{inst: i}}
	select {
	case <-i.membersRead:
	case <-time.After(firstMembersWait):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		f.round(ctx)
	}
}

// round makes one read of the store, or asks relays once.
func (f *policyFollower) round(ctx context.Context) {
	p := f.choosePlan()
	if p.Direct || boottime() < f.directUntil {
		f.readStore(ctx, p.Relay)
		return
	}
	if !f.askRelays(ctx, p.Relays) {
		f.directUntil = boottime() + directReadTime
	}
}

// choosePlan returns where to get the policy from. The cell's owner reads the store, as
// its topic also holds the upkeep waves, which relays do not pass on.
func (f *policyFollower) choosePlan() relay.Plan {
	s := &f.inst.Settings
	p := f.inst.members.relayPlan(relay.Member{Addr: s.LinkAddr, Region: s.Region, Capable: s.Relay})
	if f.inst.owner.Load() != nil {
		p.Direct = true
	}
	if p.Direct != f.plan.Direct || p.Relay != f.plan.Relay || !slices.Equal(p.Relays, f.plan.Relays) {
		evPolicyPlan.Log(f.inst.ctx, f.inst.logger, slog.Bool("from_store", p.Direct), slog.Bool("relay", p.Relay), slog.Any("relays", p.Relays))
		f.plan = p
	}
	return p
}

func (f *policyFollower) readStore(ctx context.Context, isRelay bool) {
	f.inst.policyFromStore.Store(true)
	f.reader.maxWait = 0
	if isRelay {
		f.reader.maxWait = relayReadWait
	}
	f.reader.step(ctx)
}

// askRelays asks some relays until one serves, and reports whether one did.
func (f *policyFollower) askRelays(ctx context.Context, relays []string) bool {
	f.inst.policyFromStore.Store(false)
	f.reader.nextOffset = unread
	f.turn++
	wait := relayWait
	for _, addr := range f.inst.members.responsiveFirst(boottime(), f.relaysInTurn(relays)) {
		if ctx.Err() != nil || f.askRelay(ctx, addr, wait) {
			return true
		}
		wait = 0 // a version may have been missed meanwhile
	}
	return false
}

// relaysInTurn returns the relays to ask in this round. Few are used, as each link costs
// heartbeats at both ends, and the cell's owner, which is the busiest process, last.
func (f *policyFollower) relaysInTurn(relays []string) []string {
	owner := f.inst.ownerAddr()
	out := slices.DeleteFunc(slices.Clone(relays), func(a string) bool { return a == owner })
	if len(out) < len(relays) {
		out = append(out, owner)
	}
	out = out[:min(len(out), relaysPerRound)]
	if f.turn%2 == 1 && len(out) > 1 {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

// askRelay asks a relay, which waits for news at most as long as given, and copies a newer
// policy from it. It reports whether the relay is in contact with the store and gave what
// it has.
func (f *policyFollower) askRelay(ctx context.Context, addr string, wait time.Duration) bool {
	i, began := f.inst, boottime()
	r, err := i.askPolicy(ctx, addr, wire.PolicyQuery{Wait: wait, Parts: true})
	if err != nil {
		return false
	}
	if r.Offer == nil || !r.Offer.FromStore || r.Offer.ContactAge > relayMaxContactAge {
		evRelayStale.Log(ctx, i.logger, slog.String("addr", addr), slog.Any("offer", r.Offer))
		return false
	}
	if r.Version > i.policyInForce() && !i.copyPolicy(ctx, &f.copy, addr, r) {
		return false
	}
	now := boottime()
	raise(&i.policyReadAt, now-r.Offer.ReadAge)
	raise(&i.policyContactAt, now-r.Offer.ContactAge)
	if wait > 0 && r.Version <= i.policyInForce() && now-began < wait/2 {
		sleep(ctx, readRetryDelay) // the relay did not wait
	}
	return true
}

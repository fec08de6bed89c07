package instance

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/drain"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// policyReadFailed reports a failed read of the policy that took the given time.
func (i *Instance) policyReadFailed(err error, took time.Duration) {
	mPolicyReadsFailed.Inc()
	evPolicyReadFailed.Log(i.ctx, i.logger, slog.Any("error", err), slog.Duration("took", took),
		slog.Int64("version", i.policyInForce()), slog.Duration("age", i.policyAge()))
}

func (i *Instance) handlePolicySnapshot(p external.Page, took time.Duration) {
	i.applyDrainSnapshot(p)
	i.handlePolicyRecords(p, took)
}

func (i *Instance) handlePolicyRecords(p external.Page, took time.Duration) {
	age := i.policyAge()
	i.policyReadAt.Store(int64(boottime()))
	i.recordPolicyContact()
	if len(p.Records) > 0 {
		mPolicyReadTime.Update(took.Seconds())
	}
	for _, r := range p.Records {
		if r.Key == i.PolicyKey && len(r.Value) > 0 {
			i.applyPolicy(r.Value, policySource{from: "store", took: took, age: age})
		}
		if i.DecodeWave != nil {
			i.addWave(r)
		}
		if d, ok := i.decodeDrain(r); ok {
			i.applyDrains([]drain.Record{d}, "store")
		}
	}
}

// policySource says how a policy record was obtained, for the log.
type policySource struct {
	// from is "store" or the address of a peer.
	from string
	// took is how long the call that returned the record took, with its wait for news.
	took time.Duration
	// age is how long ago the policy in force had last been confirmed as the newest.
	age time.Duration
}

// applyPolicy puts a policy into force if its version is newer.
func (i *Instance) applyPolicy(record []byte, src policySource) {
	p, err := i.DecodePolicy(record)
	if err != nil {
		evPolicyInvalid.Log(i.ctx, i.logger, slog.String("from", src.from), slog.Any("error", err))
		return
	}
	i.policyMu.Lock()
	defer i.policyMu.Unlock()
	old := i.policy.Load()
	if old != nil && old.policy.Version >= p.Version {
		return
	}
	i.policy.Store(newCurrentPolicy(p, record, old))
	i.policyChanged.notify()
	evPolicyApplied.Log(i.ctx, i.logger, slog.Int64("version", p.Version), slog.String("from", src.from),
		slog.Int("routes", len(p.Routes)), slog.Int("accounts", len(p.Accounts)),
		slog.Int("bytes", len(record)), slog.Duration("took", src.took), slog.Duration("age", src.age))
	if o := i.owner.Load(); o != nil {
		o.step(cell.PolicyChanged{Policy: p})
	}
}

// askPeersForPolicy asks other instances for a newer policy while neither the store nor
// a relay answers this one.
func (i *Instance) askPeersForPolicy(ctx context.Context) {
	copied := policyCopy{inst: i}
	for turn := 0; ctx.Err() == nil; turn++ {
		sleep(ctx, policyMaxAge/2)
		if i.policySourceAnswers() {
			continue
		}
		for _, addr := range i.members.inTurn(boottime(), i.ownerAddr(), turn) {
			r, err := i.askPolicy(ctx, addr, wire.PolicyQuery{Parts: true})
			if err == nil && r.Version > i.policyInForce() {
				i.copyPolicy(ctx, &copied, addr, r)
			}
		}
	}
}

// policySourceAnswers reports whether the store, or the relay that is asked in its place,
// answers questions for the policy.
func (i *Instance) policySourceAnswers() bool {
	if i.policyContactAge() >= readWait+policyMaxAge {
		return false
	}
	return !i.policyFromStore.Load() || i.storeMonitor.available(i.PolicyTopic)
}

// askPolicy asks a peer for a newer policy than the one in force. It applies the rest of
// the answer, but leaves it to the caller to copy an offered record.
func (i *Instance) askPolicy(ctx context.Context, addr string, q wire.PolicyQuery) (wire.PolicyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+peerTimeout)
	defer cancel()
	q.Version = i.policyInForce()
	began := boottime()
	r, err := link.Call[wire.PolicyQuery, wire.PolicyReply](ctx, i.pool, addr, wire.KindPolicy, q)
	took := boottime() - began
	i.members.recordAnswer(addr, err == nil)
	if err != nil {
		evPeerPolicyFailed.Log(ctx, i.logger, slog.String("addr", addr), slog.Any("error", err), slog.Duration("took", took))
		return r, err
	}
	i.applyDrains(r.Drains, addr)
	if len(r.Record) > 0 { // from a peer that offers no parts
		i.applyPolicy(r.Record, policySource{from: addr, took: took, age: i.policyAge()})
	}
	if r.Term.Term > i.latestTermRecord().Term {
		i.stepTerm(term.PeerRecord{Record: r.Term})
	}
	return r, err
}

// copyPolicy copies the record that a peer offers and puts it into force. It reports
// whether the policy in force is now at least as new as the offered one.
func (i *Instance) copyPolicy(ctx context.Context, c *policyCopy, addr string, r wire.PolicyReply) bool {
	if r.Offer == nil {
		return false
	}
	age, began := i.policyAge(), boottime()
	record, err := c.fetch(ctx, addr, r.Version, *r.Offer)
	took := boottime() - began
	if err != nil {
		evPeerPolicyFailed.Log(ctx, i.logger, slog.String("addr", addr), slog.Any("error", err), slog.Duration("took", took),
			slog.Int64("version", r.Version), slog.Int("copied", len(c.data)), slog.Int("of", r.Offer.Size))
		return false
	}
	i.applyPolicy(record, policySource{from: addr, took: took, age: age})
	return i.policyInForce() >= r.Version
}

// logTopicChange logs that a topic of the store became unavailable to this process, or
// available again.
func (i *Instance) logTopicChange(t external.Topic, available bool, err error) {
	if available {
		evTopicAvailable.Log(i.ctx, i.logger, slog.String("topic", string(t)))
		return
	}
	evTopicUnavailable.Log(i.ctx, i.logger, slog.String("topic", string(t)), slog.Any("error", err))
}

// logUnreadableRecords logs that n records of a topic can't be read.
func (i *Instance) logUnreadableRecords(t external.Topic, from int64, n int) {
	evRecordInvalid.Log(i.ctx, i.logger, slog.String("topic", string(t)), slog.Int64("from", from), slog.Int("records", n))
}

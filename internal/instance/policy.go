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

// followPolicy keeps the policy up to date from the store.
func (i *Instance) followPolicy(ctx context.Context) {
	r := &topicReader{store: i.storeMonitor, topic: i.PolicyTopic}
	r.onSnapshot = func(p external.Page) { i.handlePolicySnapshot(p, r.took) }
	r.onPage = func(p external.Page) { i.handlePolicyRecords(p, r.took) }
	r.onError = func(err error) { i.policyReadFailed(err, r.took) }
	r.run(ctx, -1)
}

// policyReadFailed reports a failed read of the policy that took the given time.
func (i *Instance) policyReadFailed(err error, took time.Duration) {
	mPolicyReadsFailed.Inc()
	evPolicyReadFailed.Log(i.ctx, i.logger, slog.Any("error", err), slog.Duration("took", took),
		slog.Int64("version", int64(i.policyVersion())), slog.Duration("age", i.policyAge()))
}

func (i *Instance) handlePolicySnapshot(p external.Page, took time.Duration) {
	i.applyDrainSnapshot(p)
	i.handlePolicyRecords(p, took)
}

func (i *Instance) handlePolicyRecords(p external.Page, took time.Duration) {
	age := i.policyAge()
	i.policyReadAt.Store(int64(boottime()))
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
	if old := i.policy.Load(); old != nil && old.policy.Version >= p.Version {
		return
	}
	i.policy.Store(&currentPolicy{policy: p, record: record})
	evPolicyApplied.Log(i.ctx, i.logger, slog.Int64("version", p.Version), slog.String("from", src.from),
		slog.Int("routes", len(p.Routes)), slog.Int("accounts", len(p.Accounts)),
		slog.Int("bytes", len(record)), slog.Duration("took", src.took), slog.Duration("age", src.age))
	if o := i.owner.Load(); o != nil {
		o.step(cell.PolicyChanged{Policy: p})
	}
}

// askPeersForPolicy asks other instances for a newer policy while the store does not
// answer this one.
func (i *Instance) askPeersForPolicy(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, policyMaxAge/2)
		age := boottime() - time.Duration(i.policyReadAt.Load())
		if age < readWait+policyMaxAge && i.storeMonitor.available(i.PolicyTopic) {
			continue
		}
		for _, addr := range i.peers() {
			i.askPolicy(ctx, addr, false)
		}
	}
}

// askPolicy asks a peer for a newer policy and, if checkStore is set, has it check whether
// the store serves it the term.
func (i *Instance) askPolicy(ctx context.Context, addr string, checkStore bool) (wire.PolicyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := wire.PolicyQuery{CheckStore: checkStore}
	if p := i.policy.Load(); p != nil {
		q.Version = p.policy.Version
	}
	began := boottime()
	r, err := link.Call[wire.PolicyQuery, wire.PolicyReply](ctx, i.pool, addr, wire.KindPolicy, q)
	took := boottime() - began
	i.members.recordAnswer(addr, err == nil)
	if err != nil {
		evPeerPolicyFailed.Log(ctx, i.logger, slog.String("addr", addr), slog.Any("error", err), slog.Duration("took", took))
		return r, err
	}
	i.applyDrains(r.Drains, addr)
	if len(r.Record) > 0 {
		i.applyPolicy(r.Record, policySource{from: addr, took: took, age: i.policyAge()})
	}
	if r.Term.Term > i.latestTermRecord().Term {
		i.stepTerm(term.PeerRecord{Record: r.Term})
	}
	return r, err
}

func (i *Instance) onPolicyQuery(ctx context.Context, _ link.Peer, q wire.PolicyQuery) (wire.PolicyReply, error) {
	r := wire.PolicyReply{TermTopicAvailable: i.storeMonitor.available(topicTerm)}
	if q.CheckStore {
		r.TermTopicAvailable = i.storeMonitor.confirmAvailable(ctx, topicTerm)
	}
	r.Term = i.latestTermRecord()
	r.Drains = i.drainRecords()
	if p := i.policy.Load(); p != nil {
		r.Version = p.policy.Version
		if p.policy.Version > q.Version {
			r.Record = p.record
		}
	}
	return r, nil
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

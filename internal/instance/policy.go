package instance

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// followPolicy keeps the policy in force up to date.
func (i *Instance) followPolicy(ctx context.Context) {
	r := &topicReader{
		log: i.store, topic: i.PolicyTopic,
		onSnapshot: i.policyRecords,
		onPage:     i.policyRecords,
		onError:    ignoreError,
	}
	r.run(ctx, -1)
}

func (i *Instance) policyRecords(p external.Page) {
	i.policyRead.Store(int64(boottime()))
	for _, r := range p.Records {
		if r.Key == i.PolicyKey && len(r.Value) > 0 {
			i.takePolicy(r.Value, "store")
		}
		if i.DecodeWave != nil {
			i.takeWave(r)
		}
	}
}

// takePolicy puts a policy into force if its version is newer.
func (i *Instance) takePolicy(record []byte, from string) {
	p, err := i.DecodePolicy(record)
	if err != nil {
		evPolicyBad.Log(i.work, i.logger, slog.String("from", from), slog.Any("error", err))
		return
	}
	i.policyMu.Lock()
	defer i.policyMu.Unlock()
	if old := i.policy.Load(); old != nil && old.policy.Version >= p.Version {
		return
	}
	i.policy.Store(&policyInForce{policy: p, record: record})
	evPolicy.Log(i.work, i.logger, slog.Int64("version", p.Version), slog.String("from", from),
		slog.Int("routes", len(p.Routes)), slog.Int("accounts", len(p.Accounts)))
	if o := i.owner.Load(); o != nil {
		o.step(cell.PolicyChanged{Policy: p})
	}
}

// askPeersForPolicy asks other instances for a newer policy while the store
// does not answer this one.
func (i *Instance) askPeersForPolicy(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, policyAge/2)
		age := boottime() - time.Duration(i.policyRead.Load())
		if age < readWait+policyAge && i.store.available(i.PolicyTopic) {
			continue
		}
		for _, addr := range i.peers() {
			i.askPolicy(ctx, addr, false)
		}
	}
}

// askPolicy asks a peer for a newer policy, and if told so whether the store
// serves it terms.
func (i *Instance) askPolicy(ctx context.Context, addr string, checkStore bool) (wire.PolicyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	q := wire.PolicyQuery{CheckStore: checkStore}
	if p := i.policy.Load(); p != nil {
		q.Version = p.policy.Version
	}
	r, err := link.Call[wire.PolicyQuery, wire.PolicyReply](ctx, i.pool, addr, wire.KindPolicy, q)
	i.members.answered(addr, err == nil)
	if err != nil {
		return r, err
	}
	if len(r.Record) > 0 {
		i.takePolicy(r.Record, addr)
	}
	if r.Term.Term > i.newestTerm().Term {
		i.stepTerm(term.Heard{Record: r.Term})
	}
	return r, err
}

func (i *Instance) onPolicyQuery(ctx context.Context, _ link.Peer, q wire.PolicyQuery) (wire.PolicyReply, error) {
	r := wire.PolicyReply{TermTopicAvailable: i.store.available(topicTerm)}
	if q.CheckStore {
		r.TermTopicAvailable = i.store.confirmAvailable(ctx, topicTerm)
	}
	r.Term = i.newestTerm()
	if p := i.policy.Load(); p != nil {
		r.Version = p.policy.Version
		if p.policy.Version > q.Version {
			r.Record = p.record
		}
	}
	return r, nil
}

// storeChanged notes that a topic of the store is lost to this process or answers again.
func (i *Instance) storeChanged(t external.Topic, answers bool, err error) {
	if answers {
		evStoreBack.Log(i.work, i.logger, slog.String("topic", string(t)))
		return
	}
	evStoreLost.Log(i.work, i.logger, slog.String("topic", string(t)), slog.Any("error", err))
}

// recordsUnread notes records of a topic that can't be read.
func (i *Instance) recordsUnread(t external.Topic, from int64, n int) {
	evRecordBad.Log(i.work, i.logger, slog.String("topic", string(t)), slog.Int64("from", from), slog.Int("records", n))
}

package instance

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// followPolicy keeps the policy in force up to date.
func (i *Instance) followPolicy(ctx context.Context) {
	f := &follower{
		log: i.Log, topic: i.Policies,
		reset:  i.policyRecords,
		page:   i.policyRecords,
		failed: i.storeFailed,
	}
	f.run(ctx, -1)
}

func (i *Instance) policyRecords(p external.Page) {
	i.storeAnswered()
	i.policyRead.Store(int64(boottime()))
	for _, r := range p.Records {
		if r.Key == i.PolicyKey && len(r.Value) > 0 {
			i.takePolicy(r.Value, "store")
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
		if age < readWait+policyAge && i.storeOK.Load() {
			continue
		}
		for _, addr := range i.peers() {
			i.askPolicy(ctx, addr)
		}
	}
}

func (i *Instance) askPolicy(ctx context.Context, addr string) (wire.PolicyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	q := wire.PolicyQuery{}
	if p := i.policy.Load(); p != nil {
		q.Version = p.policy.Version
	}
	r, err := link.Call[wire.PolicyQuery, wire.PolicyReply](ctx, i.pool, addr, wire.KindPolicy, q)
	if err == nil && len(r.Record) > 0 {
		i.takePolicy(r.Record, addr)
	}
	return r, err
}

func (i *Instance) onPolicyQuery(_ context.Context, _ link.Peer, q wire.PolicyQuery) (wire.PolicyReply, error) {
	r := wire.PolicyReply{StoreAnswers: i.storeOK.Load()}
	if p := i.policy.Load(); p != nil {
		r.Version = p.policy.Version
		if p.policy.Version > q.Version {
			r.Record = p.record
		}
	}
	return r, nil
}

// peers gives the addresses of other instances that are known: those of the
// settings and the cell's owner.
func (i *Instance) peers() []string {
	var out []string
	if rec, ok := i.currentTerm(); ok && rec.Addr != i.Settings.LinkAddr {
		out = append(out, rec.Addr)
	}
	for _, a := range i.Settings.Peers {
		if a != i.Settings.LinkAddr && (len(out) == 0 || a != out[0]) {
			out = append(out, a)
		}
	}
	return out
}

func (i *Instance) storeAnswered() {
	if !i.storeOK.Swap(true) {
		evStoreBack.Log(i.work, i.logger)
	}
}

func (i *Instance) storeFailed(err error) {
	if i.storeOK.Swap(false) {
		evStoreLost.Log(i.work, i.logger, slog.Any("error", err))
	}
}

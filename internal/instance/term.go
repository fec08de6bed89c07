package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/wire"
)

func (i *Instance) followTerm(ctx context.Context) {
	r := &topicReader{
		store: i.storeMonitor, topic: topicTerm, minInterval: i.termReadInterval(),
		onError: func(error) { i.stepTerm(term.ReadFailed{}) },
	}
	r.onPage = func(p external.Page) {
		i.handleTermRecords(p)
		r.minInterval = i.termReadInterval()
	}
	r.onSnapshot = r.onPage
	r.run(ctx, -1)
}

// weakTermReadInterval is the least time between two reads of the term by an instance
// that claims later than others; it need not see each renewal. An owner must see votes soon, as it
// can't renew its term before.
const weakTermReadInterval = time.Second

func (i *Instance) termReadInterval() time.Duration {
	i.termMu.Lock()
	late := i.term.MayReadLate()
	i.termMu.Unlock()
	if late && i.owner.Load() == nil {
		return weakTermReadInterval
	}
	return 0
}

func (i *Instance) handleTermRecords(p external.Page) {
	ev := term.ReadResult{End: p.Next}
	for _, r := range p.Records {
		if v, ok := i.decodeVote(r); ok {
			ev.Votes = append(ev.Votes, v)
		}
		if r.Key != keyTerm || len(r.Value) == 0 {
			continue
		}
		var rec term.Record
		if err := decodeRecord(r.Value, &rec); err != nil {
			evRecordInvalid.Log(i.ctx, i.logger, slog.String("topic", string(topicTerm)), slog.Any("error", err))
			continue
		}
		ev.Records = append(ev.Records, rec)
	}
	i.stepTerm(ev)
}

// ownerRecord returns the latest known term record, and false if the cell has no known
// owner.
func (i *Instance) ownerRecord() (term.Record, bool) {
	i.termMu.Lock()
	defer i.termMu.Unlock()
	return i.term.OwnerRecord()
}

// latestTermRecord returns the latest known term record, even if its term was released.
func (i *Instance) latestTermRecord() term.Record {
	i.termMu.Lock()
	defer i.termMu.Unlock()
	return i.term.LatestRecord()
}

// stepTerm passes an event to the term's core and performs its actions.
func (i *Instance) stepTerm(ev term.Event) {
	i.termMu.Lock()
	before, _ := i.term.OwnerRecord()
	i.reportUnstoredTerm()
	actions := i.term.Step(boottime(), ev)
	after, _ := i.term.OwnerRecord()
	for _, a := range actions {
		i.performTermAction(a)
	}
	i.termMu.Unlock()
	if before.Term != after.Term || before.Owner != after.Owner {
		evOwnerChanged.Log(i.ctx, i.logger, slog.Int64("term", after.Term), slog.String("owner", after.Owner), slog.String("addr", after.Addr))
	}
}

// performTermAction performs one action. Terms are gained and lost in the order of the
// core's actions.
func (i *Instance) performTermAction(a term.Action) {
	switch a := a.(type) {
	case term.Write:
		i.spawn(func(ctx context.Context) { i.writeTerm(ctx, a) })
	case term.Gained:
		evTermGained.Log(i.ctx, i.logger, slog.Int64("term", a.Term), slog.Duration("claimed", boottime()-a.At),
			slog.Duration("earlier", max(0, a.EarlierUntil-boottime())))
		i.collectGarbage(ownerGCPercent)
		o := newOwner(i, a)
		i.owner.Store(o)
		i.spawn(o.run)
	case term.Lost:
		evTermLost.Log(i.ctx, i.logger, slog.Int64("term", a.Term), slog.String("reason", string(a.Reason)),
			slog.Duration("unstored", i.termStoredAge))
		if o := i.owner.Swap(nil); o != nil {
			o.end()
			i.collectGarbage(idleGCPercent)
		}
	case term.Confirmed:
		if o := i.owner.Load(); o != nil {
			i.spawn(func(context.Context) { o.confirmTerm(a.At) })
		}
	case term.WriteVote:
		i.spawn(func(ctx context.Context) { i.writeVote(ctx, a.Vote) })
	case term.EarlierOwnersEnd:
		if o := i.owner.Load(); o != nil {
			i.spawn(func(context.Context) { o.endEarlierOwners(a.At) })
		}
	case term.RequestYield:
		i.spawn(func(ctx context.Context) { i.requestYield(ctx, a) })
	case term.NotifyPeers:
		i.spawn(func(ctx context.Context) { i.sendReleasedTerm(ctx, a.Record) })
	case term.QueryPeers:
		i.spawn(i.askPeersAboutStore)
	case term.AskPromises:
		i.askPromises(i.ctx, a)
	case term.AskConsents:
		i.spawn(func(ctx context.Context) { i.askConsents(ctx, a) })
	case term.AskPresence:
		i.askPresence(a)
	case term.ClaimUnreached:
		i.reportClaimUnreached(a)
	case term.ClaimWaits:
		i.reportClaimWait(a)
	case term.CheckWitnesses:
		i.spawn(func(ctx context.Context) { i.checkWitnesses(ctx, a) })
	}
}

func (i *Instance) writeTerm(ctx context.Context, a term.Write) {
	w := term.WriteResult{Record: a.Record, ExpectedEnd: a.ExpectedEnd, SentAt: boottime()}
	value, err := encodeRecord(a.Record)
	if err != nil {
		evTermWriteFailed.Log(ctx, i.logger, slog.Any("error", err))
		w.Outcome = term.WriteFailed
		i.stepTerm(w)
		return
	}
	at := a.ExpectedEnd
	w.End, err = i.store.Append(ctx, external.Append{
		Topic: topicTerm, ExpectedEnd: &at, Records: []external.Record{{Key: keyTerm, Value: value}},
	})
	w.Outcome = termWriteOutcome(err)
	if err != nil {
		evTermWriteFailed.Log(ctx, i.logger, slog.Int64("term", a.Record.Term), slog.Int64("renewal", a.Record.Renewal), slog.Any("error", err))
	}
	i.stepTerm(w)
}

// termWriteOutcome converts the error of an append into the outcome of a term write.
func termWriteOutcome(err error) term.WriteOutcome {
	var conflict *external.ConflictError
	switch {
	case err == nil:
		return term.WriteDone
	case errors.As(err, &conflict):
		return term.WriteConflict
	case errors.Is(err, external.ErrNotExecuted):
		return term.WriteFailed
	default:
		return term.WriteOutcomeUnknown
	}
}

// peerAnswers collects what peers answer to the question whether the store serves them.
type peerAnswers struct {
	mu               sync.Mutex
	answered, served []string
}

func (p *peerAnswers) add(addr string, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = append(p.answered, addr)
	if served {
		p.served = append(p.served, addr)
	}
}

// isOwnLag reports whether a call within a time limit may have failed for the lag of this process. A
// refusal was read, so that it counts.
func isOwnLag(err error, limit, late time.Duration) bool {
	refused := errors.Is(err, external.ErrNotExecuted) && !errors.Is(err, external.ErrUnreached)
	return !refused && lag.Explains(limit, late)
}

// askPeersAboutStore asks peers whether the store serves them the term. It notifies the term's
// core if the store serves some of them and not this instance.
func (i *Instance) askPeersAboutStore(ctx context.Context) {
	var answers peerAnswers
	var ownErr error
	var wg sync.WaitGroup
	began, asked := boottime(), i.peers()
	wg.Go(func() { ownErr = i.storeMonitor.probe(ctx, topicTerm, probeTimeout) })
	for _, addr := range asked {
		wg.Go(func() {
			if r, err := i.askPolicy(ctx, addr, wire.PolicyQuery{CheckStore: true, Parts: true}); err == nil {
				answers.add(addr, r.TermTopicAvailable)
			}
		})
	}
	wg.Wait()
	late := i.lag.since(began)
	evPeersAsked.Log(ctx, i.logger, slog.Int64("term", i.ownedTermNumber()), slog.Any("asked", asked), slog.Any("answered", answers.answered),
		slog.Any("served", answers.served), slog.Bool("self", ownErr == nil), slog.Duration("took", boottime()-began), slog.Duration("lag", late),
		slog.Duration("unstored", i.sinceTermStored()))
	if len(answers.served) > 0 && ownErr != nil && !isOwnLag(ownErr, probeTimeout, late) {
		i.stepTerm(term.PeersReachStore{})
	}
}

package instance

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// onWitness answers as a witness.
func (i *Instance) onWitness(ctx context.Context, _ link.Peer, q wire.WitnessQuery) (wire.WitnessReply, error) {
	if (q.Ask == wire.AskPresence || q.Ask == wire.AskOwner) && i.stopping.Load() {
		return wire.WitnessReply{}, eris.Wrap(ErrUnavailable, "stopping")
	}
	r := i.answerAsWitness(ctx, q)
	if q.Ask == wire.AskOwner {
		r.OwnerSilent = i.ownerIsSilent(ctx, q.Term)
	}
	return r, nil
}

func (i *Instance) answerAsWitness(ctx context.Context, q wire.WitnessQuery) wire.WitnessReply {
	at := witness.Position{Term: q.Term, Renewal: q.Renewal}
	r := wire.WitnessReply{ID: uint64(i.witnessID)}
	i.witnessMu.Lock()
	switch q.Ask {
	case wire.AskPromise:
		r.Granted = i.witness.Promise(boottime(), witness.ID(q.Witness), at)
		r.Contested = i.witness.Contested(boottime(), at)
	case wire.AskConsent:
		r.Granted = i.witness.Consent(boottime(), witness.ID(q.Witness), at)
	}
	i.witnessMu.Unlock()
	if q.Ask == wire.AskPromise || q.Ask == wire.AskConsent {
		evWitnessAnswered.Log(ctx, i.logger, slog.Bool("consent", q.Ask == wire.AskConsent), slog.Int64("term", q.Term),
			slog.Int64("renewal", q.Renewal), slog.Bool("granted", r.Granted), slog.Bool("contested", r.Contested))
	}
	return r
}

// askWitness asks an instance, which may be this one.
func (i *Instance) askWitness(ctx context.Context, addr string, q wire.WitnessQuery) (wire.WitnessReply, error) {
	if addr == i.Settings.LinkAddr {
		return i.answerAsWitness(ctx, q), nil
	}
	i.pool.DialAtOnce(addr)
	return askPeer[wire.WitnessQuery, wire.WitnessReply](ctx, i, addr, wire.KindWitness, q)
}

// askPromises asks the witnesses of the owned term for promises.
func (i *Instance) askPromises(ctx context.Context, a term.AskPromises) {
	for _, w := range a.Witnesses {
		i.spawn(func(context.Context) {
			q := wire.WitnessQuery{Ask: wire.AskPromise, Term: a.Term, Renewal: a.Renewal, Witness: uint64(w.ID)}
			r, err := i.askWitness(ctx, w.Addr, q)
			evPromise.Log(ctx, i.logger, slog.Int64("term", a.Term), slog.Int64("renewal", a.Renewal), slog.String("addr", w.Addr),
				slog.Bool("granted", r.Granted), slog.Bool("contested", r.Contested), slog.Duration("took", boottime()-a.At), slog.Any("error", err))
			switch {
			case err != nil:
			case r.Granted:
				i.stepTerm(term.Promised{Witness: w.ID, Term: a.Term, At: a.At})
			case r.Contested && !i.storeServesTerm(ctx):
				i.stepTerm(term.PeersReachStore{})
			}
		})
	}
}

// askConsents asks the witnesses of another instance's term for their consent to a claim. A consent
// does not expire, so they are asked only while the store serves this instance.
func (i *Instance) askConsents(ctx context.Context, a term.AskConsents) {
	if !i.storeServesTerm(ctx) {
		return
	}
	for _, w := range a.Witnesses {
		i.spawn(func(context.Context) {
			q := wire.WitnessQuery{Ask: wire.AskConsent, Term: a.Term, Renewal: a.Renewal, Witness: uint64(w.ID)}
			r, err := i.askWitness(ctx, w.Addr, q)
			evConsent.Log(ctx, i.logger, slog.Int64("term", a.Term), slog.Int64("renewal", a.Renewal), slog.String("addr", w.Addr),
				slog.Bool("granted", r.Granted), slog.Any("error", err))
			switch {
			case err != nil:
			case r.Granted:
				i.stepTerm(term.Consented{Witness: w.ID, Term: a.Term, Renewal: a.Renewal})
			default:
				i.stepTerm(term.ConsentRefused{Witness: w.ID, Term: a.Term, Renewal: a.Renewal})
			}
		})
	}
}

// reportClaimWait logs and counts that a claim waits for consents.
func (i *Instance) reportClaimWait(a term.ClaimWaits) {
	mClaimWaits.Inc()
	evClaimWaits.Log(i.ctx, i.logger, slog.Int64("term", a.Term), slog.Int64("renewal", a.Renewal), slog.Any("consented", a.Consented),
		slog.Any("refused", a.Refused), slog.Any("silent", a.Silent), slog.Int("needed", a.Needed), slog.Duration("until", a.MaxWait))
}

// askPresence asks whether witnesses of a released term answer this instance.
func (i *Instance) askPresence(a term.AskPresence) {
	for _, w := range a.Witnesses {
		i.spawn(func(ctx context.Context) {
			if _, err := i.askWitness(ctx, w.Addr, wire.WitnessQuery{Ask: wire.AskPresence}); err == nil {
				i.stepTerm(term.WitnessPresent{Term: a.Term, Witness: w.ID})
			}
		})
	}
}

// reportClaimUnreached logs that a claim is late as too few witnesses answer.
func (i *Instance) reportClaimUnreached(a term.ClaimUnreached) {
	evClaimUnreached.Log(i.ctx, i.logger, slog.Int64("term", a.Term), slog.Any("asked", a.Asked), slog.Int("answered", a.Answered),
		slog.Int("needed", a.Needed), slog.Duration("until", a.Wait))
}

// storeServesTerm asks the store for the term, and reports whether it answers within the time that
// it takes at present.
func (i *Instance) storeServesTerm(ctx context.Context) bool {
	return i.storeMonitor.probe(ctx, topicTerm, i.storeMonitor.appendTimeout()) == nil
}

// maxPresenceQuestions is how many instances are asked at once whether they answer. Most of those
// that ever announced themselves may be gone.
const maxPresenceQuestions = 16

// checkWitnesses asks the current witnesses whether they answer, and others until there are enough
// that do. It passes on what it has found out so far whenever one has.
func (i *Instance) checkWitnesses(ctx context.Context, a term.CheckWitnesses) {
	if i.checkedTerm.Swap(a.Term) == a.Term {
		i.checkAgain.Store(true) // a check of this term is under way
		return
	}
	defer func() {
		i.checkedTerm.CompareAndSwap(a.Term, 0)
		if i.checkAgain.Swap(false) {
			i.stepTerm(term.MembersChanged{})
		}
	}()
	var current []string
	for _, w := range a.Current {
		current = append(current, w.Addr)
	}
	answered := i.present(ctx, current)
	i.stepTerm(term.WitnessesChecked{Term: a.Term, Answered: answered})
	others := slices.DeleteFunc(i.members.witnessCandidates(boottime(), i.Settings.Zone), func(addr string) bool {
		return slices.Contains(current, addr)
	})
	for len(answered) < witness.MaxWitnesses && len(others) > 0 && ctx.Err() == nil {
		n := min(maxPresenceQuestions, len(others))
		if found := i.present(ctx, others[:n]); len(found) > 0 {
			answered = append(answered, found...)
			i.stepTerm(term.WitnessesChecked{Term: a.Term, Answered: answered})
		}
		others = others[n:]
	}
}

// present asks instances whether they answer, and returns those that do.
func (i *Instance) present(ctx context.Context, addrs []string) []term.Witness {
	replies := make([]*wire.WitnessReply, len(addrs))
	var wg sync.WaitGroup
	for n, addr := range addrs {
		wg.Go(func() {
			if r, err := i.askWitness(ctx, addr, wire.WitnessQuery{Ask: wire.AskPresence}); err == nil {
				replies[n] = &r
			}
		})
	}
	wg.Wait()
	var out []term.Witness
	for n, r := range replies {
		if r != nil {
			out = append(out, term.Witness{Addr: addrs[n], ID: witness.ID(r.ID)})
		}
	}
	return out
}

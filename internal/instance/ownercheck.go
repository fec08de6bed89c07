package instance

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/confidence"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// maxWaitingChecks bounds the checks that wait for the state of the owned cell.
const maxWaitingChecks = 16

// onOwnerCheck answers a witness. The answer takes as long as the state of the cell is locked.
func (i *Instance) onOwnerCheck(_ context.Context, _ link.Peer, q wire.OwnerCheck) (wire.OwnerCheckReply, error) {
	o := i.owner.Load()
	if o == nil || o.term != q.Term {
		return wire.OwnerCheckReply{}, nil
	}
	return wire.OwnerCheckReply{Owns: true, Locked: !o.waitForState()}, nil
}

// waitForState waits until the state of the cell is not locked. It returns false if maxWaitingChecks
// wait already.
func (o *owner) waitForState() bool {
	defer o.waitingChecks.Add(-1)
	if o.waitingChecks.Add(1) > maxWaitingChecks {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return true
}

// maxTermAge is the age of the store's last answer for the term up to which the store counts as
// serving it. A read of an instance without news takes readWait.
const maxTermAge = readWait + readTimeout

// ownerView returns what this instance knows of the latest term.
func (i *Instance) ownerView() confidence.View {
	i.termMu.Lock()
	rec := i.term.LatestRecord()
	v := confidence.View{
		Term: rec.Term, Renewal: rec.Renewal, OwnerAddr: rec.Addr, VotedOut: i.term.VotedOut(), OthersVote: i.term.OthersVote(), LeastTenure: i.term.LeastTenure(),
	}
	fewNamed, alone := i.term.JudgesFewNamed(), i.term.JudgesAlone()
	i.termMu.Unlock()
	v.Witness = (i.isWitnessOf(rec) || fewNamed) && !i.stopping.Load()
	v.Others = i.otherWitnesses(rec)
	switch {
	case alone:
		v.Others = nil
	case fewNamed:
		v.Others = i.otherJudges(rec)
	}
	v.Further = i.furtherJudges(rec, v.Others)
	since, ok := i.storeMonitor.sinceAnswer(topicTerm)
	v.StoreServes = ok && since <= maxTermAge && i.storeMonitor.available(topicTerm)
	return v
}

// isWitnessOf reports whether a term that another instance owns names this one as a witness, or an earlier
// incarnation: an owner that reaches nobody can't name the present one.
func (i *Instance) isWitnessOf(r term.Record) bool {
	if r.Released || r.Owner == i.Settings.Incarnation || r.Addr == i.Settings.LinkAddr {
		return false
	}
	for _, w := range r.Witnesses {
		if witness.SameMachine(w.ID, i.witnessID) {
			return true
		}
	}
	return false
}

// otherJudges returns the addresses of instances that could be witnesses of a term that names too few.
func (i *Instance) otherJudges(r term.Record) []string {
	var out []string
	for _, addr := range i.members.witnessCandidates(boottime(), i.Settings.Zone) {
		if addr != r.Addr && len(out) < witness.MaxWitnesses-1 {
			out = append(out, addr)
		}
	}
	return out
}

// maxFurtherJudges is how many instances besides the witnesses are asked about an owner at most.
const maxFurtherJudges = 8

// furtherJudges returns the addresses of instances that are asked about an owner that does not answer,
// besides the given ones.
func (i *Instance) furtherJudges(r term.Record, others []string) []string {
	if i.ownerSilentFor() == 0 {
		return nil // spares the list of all members in each tick
	}
	var out []string
	for _, addr := range i.members.witnessCandidates(boottime(), i.Settings.Zone) {
		if addr != r.Addr && !slices.Contains(others, addr) && len(out) < maxFurtherJudges {
			out = append(out, addr)
		}
	}
	return out
}

// otherWitnesses returns the addresses of the other witnesses of a term.
func (i *Instance) otherWitnesses(r term.Record) []string {
	var out []string
	for _, w := range r.Witnesses {
		if !witness.SameMachine(w.ID, i.witnessID) {
			out = append(out, w.Addr)
		}
	}
	return out
}

// stepConfidence passes an event to the core that judges the owner, and performs its actions.
func (i *Instance) stepConfidence(ev confidence.Event) {
	i.confidenceMu.Lock()
	actions := i.confidence.Step(boottime(), ev)
	i.confidenceMu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case confidence.Check:
			i.spawn(func(ctx context.Context) { i.checkOwner(ctx, a) })
		case confidence.AskOthers:
			i.spawn(func(ctx context.Context) { i.askOtherWitnesses(ctx, a) })
		case confidence.Vote:
			v := term.Vote{Term: a.Term, Voter: i.witnessID, Reason: term.VoteSilent, Addr: i.Settings.LinkAddr, Unanswered: a.Unanswered, Rank: capacity.Rank(i.rank.Load())}
			i.spawn(func(ctx context.Context) { i.writeVote(ctx, v) })
		case confidence.Changed:
			evOwnerSilent.Log(i.ctx, i.logger, slog.Int64("term", a.Term), slog.String("addr", a.Addr), slog.Bool("silent", a.Silent), slog.Duration("for", a.For))
		}
	}
}

// checkOwner asks the owner of a term for an answer.
func (i *Instance) checkOwner(ctx context.Context, a confidence.Check) {
	sentAt := boottime()
	answered := i.ownerAnswers(ctx, a.Addr, a.Term)
	if ctx.Err() == nil {
		i.stepConfidence(confidence.Checked{Term: a.Term, SentAt: sentAt, Answered: answered})
	}
}

// ownerAnswers asks the owner of a term for an answer, and reports whether there was one.
func (i *Instance) ownerAnswers(ctx context.Context, addr string, t int64) bool {
	i.pool.DialAtOnce(addr)
	r, err := askPeer[wire.OwnerCheck, wire.OwnerCheckReply](ctx, i, addr, wire.KindOwnerCheck, wire.OwnerCheck{Term: t})
	// An owner of a version without checks answers that it does not know them.
	return err == nil && !r.Locked || errors.Is(err, link.ErrRemote)
}

// ownerSilentFor returns for how long the owner has not answered this witness, 0 if it does.
func (i *Instance) ownerSilentFor() time.Duration {
	i.confidenceMu.Lock()
	defer i.confidenceMu.Unlock()
	return i.confidence.SilentFor(boottime())
}

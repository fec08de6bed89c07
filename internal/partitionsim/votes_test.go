package partitionsim

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/confidence"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
)

// maxTermAge is how long ago the store may have last answered to count as serving an instance.
const maxTermAge = readWait + readTimeout

// ownerView does what instance.ownerView does.
func (i *instance) ownerView() confidence.View {
	rec, fewNamed := i.term.LatestRecord(), i.term.JudgesFewNamed()
	others := i.otherWitnesses(rec)
	switch {
	case i.term.JudgesAlone():
		others = nil
	case fewNamed:
		others = i.otherJudges(rec)
	}
	return confidence.View{
		Term: rec.Term, Renewal: rec.Renewal, OwnerAddr: rec.Addr, VotedOut: i.term.VotedOut(), OthersVote: i.term.OthersVote(), LeastTenure: i.term.LeastTenure(),
		Witness: (i.isWitnessOf(rec) || fewNamed) && !i.stopping, Others: others, Further: i.furtherJudges(rec, others),
		StoreServes: i.storeAvailable && i.sim.now-i.storeAnsweredAt <= maxTermAge,
	}
}

// isWitnessOf reports whether a term that another instance owns names this one as a witness.
func (i *instance) isWitnessOf(r term.Record) bool {
	if r.Released || r.Owner == i.name() || r.Addr == string(i.host) {
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
func (i *instance) otherJudges(r term.Record) []string {
	var out []string
	for _, addr := range i.witnessCandidates() {
		if addr != r.Addr && len(out) < witness.MaxWitnesses-1 {
			out = append(out, addr)
		}
	}
	return out
}

// maxFurtherJudges is how many instances besides the witnesses are asked about an owner at most.
const maxFurtherJudges = 8

// furtherJudges returns the addresses of instances that are asked about the owner besides the given ones.
func (i *instance) furtherJudges(r term.Record, others []string) []string {
	var out []string
	for _, addr := range i.witnessCandidates() {
		if addr != r.Addr && !slices.Contains(others, addr) && len(out) < maxFurtherJudges {
			out = append(out, addr)
		}
	}
	return out
}

// otherWitnesses returns the addresses of the other witnesses of a term.
func (i *instance) otherWitnesses(r term.Record) []string {
	var out []string
	for _, w := range r.Witnesses {
		if !witness.SameMachine(w.ID, i.witnessID) {
			out = append(out, w.Addr)
		}
	}
	return out
}

// stepConfidence passes an event to the core that judges the owner, and performs its actions.
func (i *instance) stepConfidence(ev confidence.Event) {
	for _, a := range i.confidence.Step(i.clock(), ev) {
		switch a := a.(type) {
		case confidence.Check:
			i.deliver(0, func() { i.checkOwner(a) })
		case confidence.AskOthers:
			i.deliver(0, func() { i.askOtherWitnesses(a) })
		case confidence.Vote:
			v := term.Vote{Term: a.Term, Voter: i.witnessID, Reason: term.VoteSilent, Addr: string(i.host), Unanswered: a.Unanswered, Rank: i.sim.members().Rank(i.machine)}
			i.deliver(i.sim.between(0, maxSendDelay), func() { i.writeVote(v) })
		case confidence.Changed:
			i.sim.tracef("%s: owner %s of term %d silent: %v, for %v", i.name(), a.Addr, a.Term, a.Silent, a.For)
		}
	}
}

// checkOwner asks the owner of a term for an answer.
func (i *instance) checkOwner(a confidence.Check) {
	sentAt := i.clock()
	i.callPeer(i.sim.instanceAt(a.Addr), askTimeout, func(reply func()) { reply() }, func(r callResult) {
		i.stepConfidence(confidence.Checked{Term: a.Term, SentAt: sentAt, Answered: r == callAnswered})
	})
}

// askOtherWitnesses asks other instances whether they answer this one and the owner of a term answers them.
func (i *instance) askOtherWitnesses(a confidence.AskOthers) {
	result := confidence.OthersAsked{Term: a.Term, Asked: len(a.Addrs), FurtherAsked: len(a.Further)}
	all := slices.Concat(a.Addrs, a.Further)
	pending := len(all)
	for n, addr := range all {
		i.askWitness(addr, witnessQuery{ask: askOwner, at: witness.Position{Term: a.Term}}, func(r witnessReply, ok bool) {
			switch {
			case ok && n < len(a.Addrs):
				result.Answered++
			case ok:
				result.FurtherAnswered++
			}
			if ok && r.ownerSilent {
				result.Silent++
			}
			if pending--; pending == 0 {
				i.stepConfidence(result)
			}
		})
	}
}

// answerAboutOwner answers whether the owner of a term answers this instance.
func (i *instance) answerAboutOwner(t int64, done func(silent bool)) {
	rec, ok := i.term.OwnerRecord()
	if !ok || rec.Term != t || rec.Addr == string(i.host) {
		done(false)
		return
	}
	i.callPeer(i.sim.instanceAt(rec.Addr), forwardTimeout, func(reply func()) { reply() }, func(r callResult) { done(r != callAnswered) })
}

// writeVote appends a vote to the topic of the term without a condition.
func (i *instance) writeVote(v term.Vote) {
	s := i.sim
	execute := func(reply func()) {
		s.appendVote(v)
		s.tracef("store: vote of %s against the owner of term %d: %s, %d unanswered", i.name(), v.Term, v.Reason, v.Unanswered)
		reply()
	}
	i.callStore(s.appendTimeout(), execute, func(callResult) {})
}

// requestYieldByVote reports that the owner has not answered a request to yield.
func (i *instance) requestYieldByVote(a term.RequestYield) {
	rec := i.term.LatestRecord()
	if rec.Term != a.Term || !i.isWitnessOf(rec) {
		return
	}
	others := i.otherWitnesses(rec)
	i.present(others, func(answered []term.Witness) {
		i.stepTerm(term.YieldUnanswered{Term: a.Term, Asked: len(others), Answered: len(answered)})
	})
}

// appendVote appends a vote.
func (s *simulation) appendVote(v term.Vote) {
	t := &s.store.terms
	v.Offset = t.end()
	t.append(v)
}

// termKey returns the key of a record of the term's topic: one for the term, and one for each voter.
func termKey(r any) any {
	if v, ok := r.(term.Vote); ok {
		return v.Voter
	}
	return "term"
}

// termReadInterval is the least time between two reads of the term.
func (i *instance) termReadInterval() time.Duration {
	if i.term.MayReadLate() && i.owner == nil {
		return weakTermReadInterval
	}
	return 0
}

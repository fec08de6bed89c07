package partitionsim

import (
	"cmp"
	"fmt"
	"slices"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
)

// witnessAsk says what an instance is asked as a witness.
type witnessAsk int

const (
	askPresence witnessAsk = iota
	askPromise
	askConsent
	askOwner
)

// witnessQuery asks an instance as a witness of a record.
type witnessQuery struct {
	ask     witnessAsk
	at      witness.Position
	witness witness.ID
}

// witnessReply answers a witnessQuery.
type witnessReply struct {
	id        witness.ID
	granted   bool
	contested bool
	// ownerSilent says that the owner does not answer the witness.
	ownerSilent bool
}

// answerAsWitness does what instance.answerAsWitness does.
func (i *instance) answerAsWitness(q witnessQuery) witnessReply {
	r := witnessReply{id: i.witnessID}
	switch q.ask {
	case askPromise:
		r.granted = i.witness.Promise(i.clock(), q.witness, q.at)
		r.contested = i.witness.Contested(i.clock(), q.at)
	case askConsent:
		r.granted = i.witness.Consent(i.clock(), q.witness, q.at)
		i.sim.tracef("%s asked for its consent to follow %v: %v", i.name(), q.at, r.granted)
	}
	return r
}

// askWitness asks an instance, which may be this one.
func (i *instance) askWitness(addr string, q witnessQuery, done func(r witnessReply, ok bool)) {
	if addr == string(i.host) {
		done(i.answerAsWitness(q), true)
		return
	}
	p := i.sim.instanceAt(addr)
	var r witnessReply
	execute := func(reply func()) {
		if (q.ask == askPresence || q.ask == askOwner) && p.stopping {
			return
		}
		r = p.answerAsWitness(q)
		if q.ask != askOwner {
			reply()
			return
		}
		p.answerAboutOwner(q.at.Term, func(silent bool) {
			r.ownerSilent = silent
			reply()
		})
	}
	i.callPeer(p, askTimeout, execute, func(res callResult) { done(r, res == callAnswered) })
}

// performWitnessAction performs an action of the term's core that concerns witnesses.
func (i *instance) performWitnessAction(a term.Action) {
	switch a := a.(type) {
	case term.AskPromises:
		i.askPromises(a)
	case term.AskConsents:
		i.askConsents(a)
	case term.AskPresence:
		i.askPresence(a)
	case term.ClaimUnreached:
		i.sim.tracef("%s waits with the claim that follows term %d for at most %v: %d of %v have answered, %d needed", i.name(), a.Term, a.Wait, a.Answered, a.Asked, a.Needed)
	case term.CheckWitnesses:
		i.checkWitnesses(a)
	case term.ClaimWaits:
		i.sim.tracef("%s waits with the claim that follows term %d for at most %v: consented %v, refused %v, silent %v", i.name(), a.Term, a.MaxWait, a.Consented, a.Refused, a.Silent)
	default:
		i.sim.t.Fatalf("unknown action %T", a)
	}
}

func (i *instance) askPromises(a term.AskPromises) {
	for _, w := range a.Witnesses {
		q := witnessQuery{ask: askPromise, at: witness.Position{Term: a.Term, Renewal: a.Renewal}, witness: w.ID}
		i.deliver(0, func() {
			i.askWitness(w.Addr, q, func(r witnessReply, ok bool) {
				switch {
				case !ok:
				case r.granted:
					i.stepTerm(term.Promised{Witness: w.ID, Term: a.Term, At: a.At})
				case r.contested:
					i.handOverUnlessServed()
				}
			})
		})
	}
}

// handOverUnlessServed hands the term over if the store does not serve this instance.
func (i *instance) handOverUnlessServed() {
	i.probeStore(i.sim.appendTimeout(), func(served bool) {
		if !served {
			i.stepTerm(term.PeersReachStore{})
		}
	})
}

// askConsents asks the witnesses of a record if the store serves this instance.
func (i *instance) askConsents(a term.AskConsents) {
	i.probeStore(i.sim.appendTimeout(), func(served bool) {
		if served {
			i.askServedConsents(a)
		}
	})
}

func (i *instance) askServedConsents(a term.AskConsents) {
	for _, w := range a.Witnesses {
		q := witnessQuery{ask: askConsent, at: witness.Position{Term: a.Term, Renewal: a.Renewal}, witness: w.ID}
		i.deliver(0, func() {
			i.askWitness(w.Addr, q, func(r witnessReply, ok bool) {
				switch {
				case !ok:
				case r.granted:
					i.stepTerm(term.Consented{Witness: w.ID, Term: a.Term, Renewal: a.Renewal})
				default:
					i.stepTerm(term.ConsentRefused{Witness: w.ID, Term: a.Term, Renewal: a.Renewal})
				}
			})
		})
	}
}

// askPresence asks whether witnesses of a released term answer.
func (i *instance) askPresence(a term.AskPresence) {
	for _, w := range a.Witnesses {
		i.deliver(0, func() {
			i.askWitness(w.Addr, witnessQuery{ask: askPresence}, func(_ witnessReply, ok bool) {
				if ok {
					i.stepTerm(term.WitnessPresent{Term: a.Term, Witness: w.ID})
				}
			})
		})
	}
}

// maxPresenceQuestions is how many instances are asked at once whether they answer.
const maxPresenceQuestions = 16

// checkWitnesses asks the current witnesses whether they answer, and others until there are enough
// that do.
func (i *instance) checkWitnesses(a term.CheckWitnesses) {
	if i.checkedTerm == a.Term {
		i.checkAgain = true // a check of this term is under way
		return
	}
	i.checkedTerm = a.Term
	var current []string
	for _, w := range a.Current {
		current = append(current, w.Addr)
	}
	i.present(current, func(answered []term.Witness) {
		i.stepTerm(term.WitnessesChecked{Term: a.Term, Answered: answered})
		others := slices.DeleteFunc(i.witnessCandidates(), func(addr string) bool { return slices.Contains(current, addr) })
		i.askOthers(a.Term, answered, others)
	})
}

// askOthers asks further instances until there are enough witnesses. It passes on what it has
// found out so far whenever one has answered.
func (i *instance) askOthers(t int64, answered []term.Witness, others []string) {
	if len(answered) >= witness.MaxWitnesses || len(others) == 0 {
		i.sim.tracef("%s found as witnesses for term %d: %v", i.name(), t, answered)
		i.endWitnessCheck(t)
		return
	}
	n := min(maxPresenceQuestions, len(others))
	i.present(others[:n], func(found []term.Witness) {
		answered = append(answered, found...)
		if len(found) > 0 {
			i.stepTerm(term.WitnessesChecked{Term: t, Answered: answered})
		}
		i.askOthers(t, answered, others[n:])
	})
}

// endWitnessCheck has the witnesses checked again if that was asked for meanwhile.
func (i *instance) endWitnessCheck(t int64) {
	if i.checkedTerm == t {
		i.checkedTerm = 0
	}
	if i.checkAgain {
		i.checkAgain = false
		i.stepTerm(term.MembersChanged{})
	}
}

// present asks instances whether they answer, and passes on those that do.
func (i *instance) present(addrs []string, done func([]term.Witness)) {
	replies := make([]*witnessReply, len(addrs))
	pending := len(addrs)
	finish := func() {
		var out []term.Witness
		for n, r := range replies {
			if r != nil {
				out = append(out, term.Witness{Addr: addrs[n], ID: r.id})
			}
		}
		done(out)
	}
	if pending == 0 {
		finish()
		return
	}
	for n, addr := range addrs {
		i.askWitness(addr, witnessQuery{ask: askPresence}, func(r witnessReply, ok bool) {
			if ok {
				replies[n] = &r
			}
			if pending--; pending == 0 {
				finish()
			}
		})
	}
}

// witnessCandidates returns the addresses of the instances that this one may name, in the
// order of preference, and last those that failed to answer recently.
func (i *instance) witnessCandidates() []string {
	var all []witness.Candidate
	for _, p := range i.sim.instances {
		if p != i {
			all = append(all, witness.Candidate{Addr: string(p.host), DataCentre: p.dataCentre, Strong: i.sim.isStrong(p)})
		}
	}
	var out []string
	for _, c := range witness.Rank(i.dataCentre, all) {
		out = append(out, c.Addr)
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(i.demoted(host(a)), i.demoted(host(b))) })
	return out
}

// demoted returns 1 if a peer failed to answer recently, else 0.
func (i *instance) demoted(h host) int {
	if failedAt, ok := i.lastFailure[h]; ok && i.sim.now-failedAt < memberDemotion {
		return 1
	}
	return 0
}

// instanceAt returns the instance at an address.
func (s *simulation) instanceAt(addr string) *instance {
	at := slices.IndexFunc(s.instances, func(p *instance) bool { return string(p.host) == addr })
	return s.instances[at]
}

// isInstance reports whether a host is an instance's.
func (s *simulation) isInstance(h host) bool {
	return slices.ContainsFunc(s.instances, func(p *instance) bool { return p.host == h })
}

// dataCentreOf returns the data centre of the n-th instance.
func dataCentreOf(n int) string { return fmt.Sprintf("d%d", n%dataCentres) }

package modelcheck

import "math/bits"

// doKeeping returns the state after an action on writes, witnesses or cuts.
func (k TermSpec) doKeeping(s TermState, a Action) TermState {
	switch a.Kind {
	case TermSplit:
		k.split(&s, a.Worker+1)
	case TermPeerWord:
		k.peerWord(&s, a.Host, a.Worker)
	}
	if k.Keeping.Sets == 0 {
		return s
	}
	before := s
	slow := s.keeping.slow < k.Keeping.MaxSlow
	switch a.Kind {
	case TermRelease:
		s.release(a.Host)
	case TermSendClaim:
		s.keeping.slow += b2u(slow && k.sendClaim(&s, a.Host))
	case TermStoreClaim:
		s.storeClaim(a.Host)
	case TermGain:
		k.gain(&s, a.Host)
	case TermClaimAnswered:
		if k.sendClaim(&s, a.Host) {
			s.storeClaim(a.Host)
			k.gain(&s, a.Host)
		}
	case TermSendRenewal:
		s.keeping.slow += b2u(slow && k.sendRenewal(&s, a.Host, a.Worker))
	case TermStoreRenewal:
		s.storeRenewal(a.Host, a.Worker)
	case TermRenewalAnswer:
		k.renewalAnswer(&s, a.Host, a.Worker)
	case TermRenewalAnswered:
		if k.sendRenewal(&s, a.Host, a.Worker) {
			s.storeRenewal(a.Host, a.Worker)
			k.renewalAnswer(&s, a.Host, a.Worker)
		}
	default:
		k.doWitness(&s, a)
	}
	if s != before {
		k.normalize(&s)
	}
	return s
}

// release gives a term up. The others learn of it at once, by the store or by a peer.
func (s *TermState) release(h uint8) {
	if i := &s.instance[h]; i.term != 0 && i.term == s.term {
		s.keeping.released = true
		*i = instanceState{}
	}
}

// sendClaim sends the claim of the next term, if it may be claimed. An instance that believes to own an
// earlier term has learned by then that it does not.
func (k TermSpec) sendClaim(s *TermState, h uint8) bool {
	c := &s.keeping.claim[h]
	owns := s.instance[h].term != 0 && s.instance[h].term == s.term
	if owns || s.term >= k.MaxTerms || !s.reachesStore(h) || c.phase == writeStored && c.term == s.term || !k.mayClaim(s, h) {
		return false
	}
	s.instance[h] = instanceState{}
	*c = write{phase: writeSent, term: s.term + 1, earlier: k.allowance(s, h)}
	return true
}

// allowance returns for how long a claim says that owners of earlier terms may renew leases: as the
// latest record does, and as the latest owner can if its witnesses have not consented.
func (k TermSpec) allowance(s *TermState, h uint8) uint8 {
	v := &s.keeping
	earlier := v.earlier
	if k.Keeping.ForgetEarlier {
		earlier = 0
	}
	ended := s.term == 0 || v.released || s.owner == h || v.set == 0 || k.hasConsents(s)
	if ended || k.Keeping.IgnoreEarlier {
		return earlier
	}
	return max(earlier, keepLimitTicks+ownerGraceTicks-s.renewalAge)
}

// hasConsents says whether enough witnesses of the latest record have consented to a claim.
func (k TermSpec) hasConsents(s *TermState) bool {
	return bits.OnesCount8(s.keeping.consented&s.keeping.set) >= k.Keeping.consents(s.keeping.set)
}

// mayClaim says whether an instance may claim the term that follows the latest record.
// Its own earlier term is one that it has lost.
func (k TermSpec) mayClaim(s *TermState, h uint8) bool {
	v := &s.keeping
	switch {
	case s.term == 0 || v.released || s.owner == h:
		return true
	case s.renewalAge < renewalStaleTicks:
		return false
	case s.renewalAge >= startLimitTicks+renewalStaleTicks || k.Keeping.ClaimBeforeLimit:
		return true
	}
	return k.hasConsents(s)
}

// storeClaim carries a claim out.
func (s *TermState) storeClaim(h uint8) {
	c := &s.keeping.claim[h]
	if c.phase != writeSent {
		return
	}
	claim := *c
	s.grow()
	claim.phase = writeStored
	*c = claim
	s.term, s.owner = claim.term, h
	s.keeping.set, s.keeping.released, s.keeping.earlier = 0, false, claim.earlier
}

// grow appends a record to the log, so that no other write under way can be carried out
// any more, and no consent to a claim that follows the record before is of use.
func (s *TermState) grow() {
	v := &s.keeping
	s.renewalAge, v.consented = 0, 0
	for h := range v.claim {
		if v.claim[h].phase == writeSent {
			v.claim[h] = write{}
		}
		for n := range v.renewal[h] {
			if v.renewal[h][n].phase == writeSent {
				v.renewal[h][n] = write{}
			}
		}
	}
}

// gain makes an instance the owner of the term that it has claimed.
func (k TermSpec) gain(s *TermState, h uint8) {
	c := &s.keeping.claim[h]
	if c.phase != writeStored {
		return
	}
	age := c.age
	if k.Keeping.CountClaimFromArrival {
		age = 0
	}
	s.instance[h] = instanceState{
		term: c.term, taskWorker: noWorker, confirmationAge: age, silentLeft: k.silentWait(c.earlier),
		keeping: keepingView{storedAge: age, earlier: c.earlier},
	}
	if c.term < s.term {
		s.instance[h].outdatedAge = s.outdatedAge(c.term)
	}
	if s.endRecorded {
		s.instance[h].task = taskEnded
	}
	*c = write{}
}

// outdatedAge returns a lower bound on the time since the term after the given one was
// claimed, which is exact if that is the latest and was not renewed.
func (s *TermState) outdatedAge(term uint8) uint8 {
	if term+1 == s.term {
		return min(s.renewalAge, maxOutdatedAge)
	}
	return 0
}

// sendRenewal sends a renewal that names the set n+1 of witnesses, if the owner may.
func (k TermSpec) sendRenewal(s *TermState, h, n uint8) bool {
	i, r := &s.instance[h], &s.keeping.renewal[h]
	if i.term == 0 || i.term != s.term || !s.reachesStore(h) || k.Keeping.Sets&bit(n+1) == 0 {
		return false
	}
	for _, w := range r {
		if w.phase == writeStored {
			return false // the owner does not know the log's end
		}
	}
	r[n] = write{phase: writeSent}
	return true
}

// storeRenewal carries a renewal out, also if its sender has lost the term since.
func (s *TermState) storeRenewal(h, n uint8) {
	w := &s.keeping.renewal[h][n]
	if w.phase != writeSent {
		return
	}
	renewal := *w
	s.grow()
	renewal.phase = writeStored
	*w = renewal
	s.keeping.set = n + 1
	for x := range s.keeping.witness {
		if w := &s.keeping.witness[x]; w.consentTerm == s.term {
			w.consentValid = false
		}
	}
}

// renewalAnswer tells an owner that its renewal is stored, by the answer or by a read.
func (k TermSpec) renewalAnswer(s *TermState, h, n uint8) {
	i, w := &s.instance[h], &s.keeping.renewal[h][n]
	if w.phase != writeStored || i.term == 0 {
		return
	}
	age := w.age
	if k.Keeping.CountRenewalFromArrival {
		age = 0
	}
	*w = write{}
	i.confirmationAge = min(i.confirmationAge, age)
	i.keeping.storedAge = min(i.keeping.storedAge, age)
	i.keeping.storedSet = n + 1
	k.confirmByPromises(s, h)
}

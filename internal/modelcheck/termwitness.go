package modelcheck

import "slices"

// doWitness carries an action on a witness out.
func (k TermSpec) doWitness(s *TermState, a Action) {
	switch a.Kind {
	case TermAskPromise:
		s.keeping.slow += b2u(s.keeping.slow < k.Keeping.MaxSlow && k.askPromise(s, a.Host, a.Worker))
	case TermPromise:
		k.promise(s, a.Host, a.Worker)
	case TermPromiseAnswer:
		k.promiseAnswer(s, a.Host, a.Worker)
	case TermPromiseAnswered:
		k.promiseAtOnce(s, a.Host, a.Worker)
	case TermConsent:
		k.consent(s, a.Host, a.Worker)
	case TermWitnessRestart:
		k.restartWitness(s, a.Worker)
	}
}

// askPromise sends the question of an owner for a promise, if it helps.
func (k TermSpec) askPromise(s *TermState, h, x uint8) bool {
	i := &s.instance[h]
	if i.term == 0 || i.confirmationAge == 0 || !k.isWitness(x) || !s.reachesWitness(h, x) {
		return false
	}
	i.keeping.ask[x], i.keeping.askAge[x] = askSent, 0
	return true
}

// isWitness says whether some set names a witness.
func (k TermSpec) isWitness(x uint8) bool {
	for set := range uint8(witnessSets + 1) {
		if k.Keeping.Sets&bit(set) != 0 && set&bit(x) != 0 {
			return true
		}
	}
	return false
}

// promiseAtOnce asks a witness that promises at once. Another question that is under way
// stays so.
func (k TermSpec) promiseAtOnce(s *TermState, h, x uint8) {
	v := s.instance[h].keeping
	if !k.askPromise(s, h, x) {
		return
	}
	k.promise(s, h, x)
	k.promiseAnswer(s, h, x)
	s.instance[h].keeping.ask[x], s.instance[h].keeping.askAge[x] = v.ask[x], v.askAge[x]
}

// promise lets a question arrive at a witness, which promises unless it has consented to
// a claim that the owner's last known renewal does not bar, or promised for a later term.
func (k TermSpec) promise(s *TermState, h, x uint8) {
	i, w := &s.instance[h], &s.keeping.witness[x]
	if i.keeping.ask[x] != askSent || (w.restarted && !k.Keeping.PromiseAfterRestart) || k.refusesPromise(s, h, x) {
		return
	}
	w.promiseTerm, w.promiseLeft = i.term, renewalStaleTicks
	i.keeping.ask[x] = askGranted
}

func (k TermSpec) refusesPromise(s *TermState, h, x uint8) bool {
	w, term := &s.keeping.witness[x], s.instance[h].term
	switch {
	case w.promiseLeft > 0 && term < w.promiseTerm && !k.Keeping.PromiseEarlierTerm:
		return true
	case k.Keeping.ForgetConsent:
		return false
	case term == w.consentTerm && k.Keeping.AskWithSentRenewal && s.renewalUnderWay(h):
		return false
	case term == w.consentTerm:
		return w.consentValid
	}
	return term < w.consentTerm && !k.Keeping.ForgetEarlierConsent
}

// renewalUnderWay says whether an owner has a renewal of which it does not know whether
// it is stored.
func (s *TermState) renewalUnderWay(h uint8) bool {
	return slices.ContainsFunc(s.keeping.renewal[h][:], func(w write) bool { return w.phase != writeNone })
}

// promiseAnswer lets an owner learn of a promise.
func (k TermSpec) promiseAnswer(s *TermState, h, x uint8) {
	v := &s.instance[h].keeping
	if v.ask[x] != askGranted {
		return
	}
	v.promiseAge[x] = v.askAge[x] + 1
	if k.Keeping.CountFromArrival {
		v.promiseAge[x] = 1
	}
	v.ask[x], v.askAge[x] = askNone, 0
	k.confirmByPromises(s, h)
}

// confirmByPromises confirms a term if enough witnesses of each set that may be the
// latest record's have promised.
func (k TermSpec) confirmByPromises(s *TermState, h uint8) {
	i := &s.instance[h]
	age := uint8(0)
	if v := i.keeping; v.storedAge > keepLimitTicks && !k.Keeping.KeepWithoutLimit {
		age = v.storedAge - keepLimitTicks
	}
	sent := false
	for n, w := range s.keeping.renewal[h] {
		if w.phase != writeNone && !k.Keeping.KnownSetOnly {
			age, sent = max(age, k.promisedAge(i.keeping, uint8(n+1))), true
		}
	}
	if !sent || !k.Keeping.SentSetOnly {
		age = max(age, k.promisedAge(i.keeping, i.keeping.storedSet))
	}
	i.confirmationAge = min(i.confirmationAge, age)
}

// promisedAge returns the time since the question by which enough witnesses of a set had
// been asked for their last promises; maxAge if there are not enough.
func (k TermSpec) promisedAge(v keepingView, set uint8) uint8 {
	if set == 0 {
		return maxAge
	}
	var ages []uint8
	for x, age := range v.promiseAge {
		if set&bit(uint8(x)) != 0 && age > 0 {
			ages = append(ages, age-1)
		}
	}
	if len(ages) < k.Keeping.promises(set) {
		return maxAge
	}
	slices.Sort(ages)
	return ages[k.Keeping.promises(set)-1]
}

// consent lets a witness of a stale record consent to a claim that follows it.
func (k TermSpec) consent(s *TermState, h, x uint8) {
	v := &s.keeping
	w := &v.witness[x]
	owns := s.instance[h].term != 0 && s.instance[h].term == s.term
	if owns || v.set&bit(x) == 0 || s.renewalAge < renewalStaleTicks || !s.reachesWitness(h, x) {
		return
	}
	if w.promiseLeft > 0 && w.promiseTerm == s.term || w.restarted && w.upFor < renewalStaleTicks && !k.Keeping.ConsentAfterRestart {
		return
	}
	w.consentTerm, w.consentValid = s.term, true
	v.consented |= bit(x)
}

// restartWitness begins a witness' next process, which has forgotten all it said.
func (k TermSpec) restartWitness(s *TermState, x uint8) {
	if s.keeping.witnessRestarts >= k.Keeping.MaxWitnessRestarts {
		return
	}
	s.keeping.witnessRestarts++
	s.keeping.witness[x] = witnessState{restarted: true}
}

package modelcheck

// maxStoredAge is the age from which on a stored renewal does not confirm a term even
// with promises.
const maxStoredAge = keepLimitTicks + ownerGraceTicks + 1

// writePhase says how far a conditional append is.
type writePhase uint8

const (
	writeNone writePhase = iota
	// writeSent means that it may still be carried out. The log has not grown since it was
	// sent, as it could not be carried out otherwise.
	writeSent
	// writeStored means that its sender does not know yet that it was carried out.
	writeStored
)

// write is a claim or a renewal under way.
type write struct {
	phase writePhase
	// age is the time since it was sent.
	age uint8
	// term is the term of a claim, and earlier how long owners of earlier terms may still renew leases
	// by what it says.
	term    uint8
	earlier uint8
}

// askPhase says how far the question for a promise is.
type askPhase uint8

const (
	askNone askPhase = iota
	askSent
	askGranted
)

// keepingView is what an owner knows of its witnesses.
type keepingView struct {
	// storedAge is the time since the last renewal that is known to be stored was sent,
	// and storedSet the witnesses that it names.
	storedAge uint8
	storedSet uint8
	// earlier is how long owners of earlier terms may still renew leases.
	earlier uint8
	ask     [witnesses]askPhase
	askAge  [witnesses]uint8
	// promiseAge is one more than the time since the question for the last promise of each
	// witness; 0 for none that could still confirm the term.
	promiseAge [witnesses]uint8
}

// witnessState is the state of a witness.
type witnessState struct {
	promiseTerm uint8
	promiseLeft uint8
	// consentTerm is the latest term whose next one the witness consents to be claimed.
	// consentValid says that the term has not been renewed since.
	consentTerm  uint8
	consentValid bool
	// restarted says that the witness has restarted, upFor for how long it has run since.
	restarted bool
	upFor     uint8
}

// keepingState is the state of the witnesses, of the latest record and of the writes.
type keepingState struct {
	// set is the set of witnesses that the latest record names. released says that its
	// term was released.
	set      uint8
	released bool
	// consented is a bit set of the witnesses whose consent to a claim that follows the
	// latest record may be known to its claimants. All claimants share the consents.
	consented uint8
	// earlier is how long owners of earlier terms may still renew leases by what the latest record says.
	earlier uint8
	claim   [instances]write
	renewal [instances][witnessSets]write
	witness [witnesses]witnessState
	slow    uint8
	// split is the way in which the network is parted, splitsLeft how often it may be.
	split           uint8
	splitsLeft      uint8
	witnessRestarts uint8
}

// appendKeeping appends the encoded part of the state that concerns keeping.
func (s *TermState) appendKeeping(b []byte, instanceSwap uint8) []byte {
	v := &s.keeping
	for n := range uint8(instances) {
		n ^= instanceSwap
		i := &s.instance[n]
		b = append(b, i.outdatedAge|i.keeping.earlier<<2|i.keeping.storedSet<<4|uint8(v.claim[n].phase)<<6, i.keeping.storedAge|v.claim[n].age<<4, v.claim[n].term|v.claim[n].earlier<<4)
		for x := range witnesses {
			b = append(b, uint8(i.keeping.ask[x])|i.keeping.askAge[x]<<2, i.keeping.promiseAge[x])
		}
		for _, w := range v.renewal[n] {
			b = append(b, uint8(w.phase)|w.age<<4)
		}
	}
	for _, w := range v.witness {
		b = append(b, w.promiseTerm|w.promiseLeft<<4, w.consentTerm|b2u(w.consentValid)<<4|b2u(w.restarted)<<5|w.upFor<<6)
	}
	return append(b, v.set|b2u(v.released)<<2|v.consented<<3|v.slow<<5, v.split|v.splitsLeft<<2|v.witnessRestarts<<4|v.earlier<<6)
}

package modelcheck

import "math/bits"

// The times of an instance that is not fit, in ticks.
const (
	// unfitTicks is how long an owner has not been fit when it releases its term, or when its witnesses
	// vote against it.
	unfitTicks = 2
	// barredTicks is how long it leaves claims to others from then on.
	barredTicks = 3
)

// calmState is a state in which only a fault that lasts is in force.
type calmState struct {
	term TermState
	// affected is the instance that the fault affects.
	affected uint8
	// unfitFor is how long that instance has owned the latest term, votes a bit set of the witnesses that
	// have voted against it, and barredFor how long it claims nothing.
	unfitFor  uint8
	votes     uint8
	barredFor uint8
}

// encode returns an encoding that is different for different states.
func (c *calmState) encode() []byte {
	b := c.term.appendSwapped(make([]byte, 0, maxTermEncoding), 0, 0)
	return append(b, c.affected|c.votes<<4, c.unfitFor|c.barredFor<<4)
}

// due returns the states after each of the actions that must be taken before the next tick.
func (k ProgressSpec) due(c calmState) []calmState {
	var out []calmState
	for h := range uint8(instances) {
		if k.isAffected(c, h) && (k.Fault == FaultGone || k.Fault == FaultAllGone) {
			continue
		}
		for _, a := range k.dueOf(c, h) {
			out = k.appendChanged(out, c, a)
		}
	}
	return append(out, k.dueToUnfitness(c)...)
}

// appendChanged appends the state after an action if it differs.
func (k ProgressSpec) appendChanged(out []calmState, c calmState, a Action) []calmState {
	spec := k.TermSpec
	spec.MaxTerms += instances // each may claim one more
	next := c
	if next.term = spec.Do(c.term, a); next == c {
		return out
	}
	if next.term.term != c.term.term {
		next.unfitFor, next.votes = 0, 0
	}
	return append(out, next)
}

// dueOf returns the actions that an instance takes.
func (k ProgressSpec) dueOf(c calmState, h uint8) []Action {
	i, v := &c.term.instance[h], &c.term.keeping
	switch {
	case v.claim[h].phase == writeStored:
		return []Action{{Kind: TermGain, Host: h}}
	case i.term != 0 && i.term == c.term.term:
		return k.renewals(c, h)
	case h == c.affected && c.barredFor > 0:
		return nil
	}
	var out []Action
	if !k.ClaimAfterLeases || c.term.renewalAge >= keepLimitTicks+renewalStaleTicks || v.released || k.hasConsents(&c.term) {
		out = append(out, Action{Kind: TermClaimAnswered, Host: h})
	}
	if !k.hasWitnesses(c, h) {
		return out
	}
	for x := range uint8(witnesses) {
		out = append(out, Action{Kind: TermConsent, Host: h, Worker: x})
	}
	return out
}

// renewals returns the renewals of which an owner takes one in each tick, after it has read whether an earlier
// one is stored. One that reaches no witness names those that the record names.
func (k ProgressSpec) renewals(c calmState, h uint8) []Action {
	var out []Action
	for n, w := range c.term.keeping.renewal[h] {
		if w.phase == writeStored {
			return []Action{{Kind: TermRenewalAnswer, Host: h, Worker: uint8(n)}}
		}
	}
	if c.term.instance[h].confirmationAge == 0 {
		return nil
	}
	for n := range uint8(witnessSets) {
		if k.hasWitnesses(c, h) || n+1 == c.term.keeping.set {
			out = append(out, Action{Kind: TermRenewalAnswered, Host: h, Worker: n})
		}
	}
	return out
}

// hasWitnesses says whether witnesses answer an instance.
func (k ProgressSpec) hasWitnesses(c calmState, h uint8) bool {
	return k.Fault != FaultAllGone && (k.Fault != FaultNoPeers || h != c.affected)
}

// dueToUnfitness returns the states after what follows from an owner that is not fit: it renews a record
// that can't name a witness, witnesses vote against it, or it releases its term.
func (k ProgressSpec) dueToUnfitness(c calmState) []calmState {
	i, v := &c.term.instance[c.affected], &c.term.keeping
	if i.term == 0 || i.term != c.term.term || k.Fault != FaultNoWorkers && k.Fault != FaultNoPeers {
		return nil
	}
	var out []calmState
	if k.Fault == FaultNoPeers && v.set == 0 && i.confirmationAge > 0 {
		next := c
		next.term.renewWithoutWitnesses(c.affected)
		out = append(out, next)
	}
	if c.unfitFor < unfitTicks {
		return out
	}
	if k.Fault == FaultNoWorkers {
		if !k.KeepUnfit {
			out = append(out, c.releasedAsUnfit())
		}
		return out
	}
	return append(out, k.voted(c)...)
}

// voted returns the states after a vote, or after the release that follows from votes of most
// witnesses.
func (k ProgressSpec) voted(c calmState) []calmState {
	electorate := c.term.keeping.set
	if electorate == 0 && !k.VotesOfWitnessesOnly {
		electorate = witnessSets
	}
	var out []calmState
	if k.NoVotes || electorate == 0 {
		return nil
	}
	if 2*bits.OnesCount8(c.votes&electorate) > bits.OnesCount8(electorate) {
		return []calmState{c.releasedAsUnfit()}
	}
	for x := range uint8(witnesses) {
		if missing := bit(x) &^ c.votes; missing&electorate != 0 {
			next := c
			next.votes |= missing
			out = append(out, next)
		}
	}
	return out
}

func (c calmState) releasedAsUnfit() calmState {
	c.term.release(c.affected)
	c.barredFor, c.unfitFor, c.votes = barredTicks, 0, 0
	return c
}

// renewWithoutWitnesses stores a renewal that names no witnesses.
func (s *TermState) renewWithoutWitnesses(h uint8) {
	s.grow()
	i := &s.instance[h]
	i.confirmationAge, i.keeping.storedAge = 0, 0
}

// calmTick lets a tick pass.
func (k ProgressSpec) calmTick(c calmState) calmState {
	c.term = k.Do(c.term, Action{Kind: TermTick})
	if i := &c.term.instance[c.affected]; i.term != 0 && i.term == c.term.term {
		c.unfitFor = min(c.unfitFor+1, unfitTicks)
	}
	c.barredFor = max(c.barredFor, 1) - 1
	return c
}

package term

import (
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/core/witness"
)

// fail answers all pending writes of a store that refuses them.
func (c *contender) fail(now time.Duration) {
	for len(c.pending) > 0 {
		w := c.pending[0]
		c.pending, c.sentAt = c.pending[1:], c.sentAt[1:]
		c.step(now, WriteResult{Outcome: WriteFailed, Record: w.Record, ExpectedEnd: w.ExpectedEnd})
	}
}

// TestPromiseFromBeforeAPauseDoesNotConfirmTheTerm guards against counting an answer from when it
// is processed: a paused process started tasks after others had claimed the next term.
func TestPromiseFromBeforeAPauseDoesNotConfirmTheTerm(t *testing.T) {
	a, asked := ownerWithWitnesses(&fakeStore{}, 1)
	a.confirmed = nil
	resumed := asked + 9*time.Second
	a.step(resumed, Promised{Witness: testWitness(1).ID, Term: 1, At: asked + time.Second})
	for _, at := range a.confirmed {
		if at > asked+time.Second {
			t.Errorf("confirmed as of %v, %v after the question", at, at-asked-time.Second)
		}
	}
	if a.ownedTerm != 0 {
		t.Error("the term is kept on an answer from before the pause")
	}
}

// TestKeptTermEndsBeforeClaimsNeedNoConsent guards against an owner that starts tasks for longer than
// others wait for the consent of its witnesses, or renews leases for longer than the next owner allows
// for.
func TestKeptTermEndsBeforeClaimsNeedNoConsent(t *testing.T) {
	f := &fakeStore{}
	a, stored := ownerWithWitnesses(f, 3)
	b := newContender(9)
	b.readAll(stored, f)
	var claimed, allowsUntil, confirmed, owned time.Duration
	for now := stored; now < stored+time.Minute; now += 50 * time.Millisecond {
		for w := range 3 {
			a.step(now, Promised{Witness: testWitness(w + 1).ID, Term: 1, At: now})
		}
		a.step(now, Tick{})
		a.fail(now)
		if a.ownedTerm != 0 {
			owned = now
		}
		if claimed > 0 {
			continue
		}
		b.readAll(now, f)
		b.step(now, Tick{})
		if len(b.pending) > 0 {
			claimed, allowsUntil = now, now+b.pending[0].Record.EarlierOwners
		}
	}
	for _, at := range a.confirmed {
		confirmed = max(confirmed, at)
	}
	s := DefaultSettings()
	if confirmed < stored+s.StartLimit-time.Second {
		t.Errorf("the term was confirmed until %v after its latest stored renewal", confirmed-stored)
	}
	if claimed == 0 || claimed < confirmed+s.StaleAfter {
		t.Errorf("claimed at %v, %v after the latest confirmation, want at least %v", claimed, claimed-confirmed, s.StaleAfter)
	}
	if owned < stored+s.KeepLimit {
		t.Errorf("the term was kept until %v after its latest stored renewal", owned-stored)
	}
	if owned > stored+s.KeepLimit+s.ConfirmTimeout {
		t.Error("the term is kept for longer than its confirmation lasts")
	}
	if owned >= allowsUntil {
		t.Errorf("the term was kept until %v, and the next owner allows for it until %v", owned, allowsUntil)
	}
}

// TestClaimWaitsForConsents guards against a claim beside an owner that keeps its term behind a
// partition.
func TestClaimWaitsForConsents(t *testing.T) {
	s := DefaultSettings()
	for name, c := range map[string]struct {
		consents []int
		renewed  bool
		want     bool
	}{
		"no witness consents":             {nil, false, false},
		"one of five consents":            {[]int{1}, false, false},
		"the same one consents twice":     {[]int{1, 1}, false, false},
		"two of five consent":             {[]int{1, 4}, false, true},
		"strangers consent":               {[]int{7, 8, 9}, false, false},
		"their consent was to an earlier": {[]int{1, 2, 3}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeStore{}
			owner, stored := ownerWithWitnesses(f, 5)
			b := newContender(9)
			b.readAll(stored, f)
			now := stored + s.StaleAfter
			b.step(now-100*time.Millisecond, Tick{})
			rec := f.records[len(f.records)-1]
			for _, w := range c.consents {
				b.step(now, Consented{Witness: testWitness(w).ID, Term: rec.Term, Renewal: rec.Renewal})
			}
			if c.renewed {
				owner.step(now, Tick{})
				owner.answer(now, f)
				b.readAll(now, f)
			}
			for end := now + 3*time.Second; now < end; now += 50 * time.Millisecond {
				b.step(now, Tick{})
			}
			if got := len(b.pending) > 0; got != c.want {
				t.Errorf("claimed %v, want %v", got, c.want)
			}
		})
	}
}

// TestTermIsKeptOnlyIfBothPossibleRecordsAllowIt guards against promises of witnesses that the
// stored record does not name: the renewal that named them may not have been stored.
func TestTermIsKeptOnlyIfBothPossibleRecordsAllowIt(t *testing.T) {
	for name, c := range map[string]struct {
		promising []int
		keeps     bool
	}{
		"only the old ones promise": {[]int{1, 2}, false},
		"only the new ones promise": {[]int{3, 4}, false},
		"all of them promise":       {[]int{1, 2, 3, 4}, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, now := ownerWithWitnesses(&fakeStore{}, 2)
			a.core.tenure.proposed = []Witness{testWitness(3), testWitness(4)}
			for end := now + 5*time.Second; now < end; now += 50 * time.Millisecond {
				for _, w := range c.promising {
					a.step(now, Promised{Witness: testWitness(w).ID, Term: 1, At: now})
				}
				a.step(now, Tick{})
				a.fail(now)
			}
			if (a.ownedTerm != 0) != c.keeps {
				t.Errorf("owns term %d, keeps %v", a.ownedTerm, c.keeps)
			}
		})
	}
}

func TestSilentWitnessesAreReplaced(t *testing.T) {
	w := func(ns ...int) (out []Witness) {
		for _, n := range ns {
			out = append(out, testWitness(n))
		}
		return out
	}
	restarted := Witness{Addr: testWitness(2).Addr, ID: witness.IDOf("node-2/2")}
	for name, c := range map[string]struct {
		silentFor time.Duration
		answered  []Witness
		want      []Witness
	}{
		"all answer":                            {0, w(1, 2, 3, 4, 5), w(1, 2, 3, 4, 5)},
		"another replaces a silent one":         {0, w(1, 2, 3, 4, 6), w(1, 2, 3, 4, 6)},
		"no other can replace a silent one":     {0, w(1, 2, 3, 4), w(1, 2, 3, 4, 5)},
		"a silent one leaves after a long time": {maxWitnessSilence, w(1, 2, 3, 4), w(1, 2, 3, 4)},
		"a restarted one is another":            {0, append(w(1, 3, 4, 5), restarted), []Witness{testWitness(1), restarted, testWitness(3), testWitness(4), testWitness(5)}},
		"none answers":                          {maxUnanswered - time.Millisecond, nil, w(1, 2, 3, 4, 5)},
		"none answers for a long time":          {maxUnanswered, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			te := newTenure(0)
			te.stored(Record{Term: 1, Renewal: 1, Witnesses: w(1, 2, 3, 4, 5)})
			te.checked(time.Second, c.answered)
			te.proposed = nil
			te.checked(time.Second+c.silentFor, c.answered)
			if got := te.named(); !slices.Equal(got, c.want) {
				t.Errorf("named %v, want %v", got, c.want)
			}
		})
	}
}

// TestTermCountsAsConfirmedFromItsClaim guards against a confirmation as of the end of the takeover:
// the next term may have been claimed since.
func TestTermCountsAsConfirmedFromItsClaim(t *testing.T) {
	f := &fakeStore{}
	a := newContender(0)
	a.readAll(time.Millisecond, f)
	w, late := a.pending[0], 2*time.Second
	f.append(w)
	a.pending = nil
	a.step(late, WriteResult{Outcome: WriteOutcomeUnknown, SentAt: time.Millisecond, Record: w.Record})
	a.readAll(late, f)
	if len(a.gainedAt) != 1 || a.gainedAt[0] != time.Millisecond {
		t.Errorf("gained as of %v, want 1ms", a.gainedAt)
	}
	b := newContender(1)
	f = &fakeStore{}
	b.readAll(0, f)
	b.step(20*time.Millisecond, Tick{})
	f.append(b.pending[0])
	b.readAll(time.Minute, f) // the read reaches a process that was paused
	if b.ownedTerm != 0 {
		t.Error("owns a term that was claimed a minute ago")
	}
}

// TestWitnessesAreNamedTogether guards against an owner that names the first instance that answers
// as its only witness, and the others at the next check.
func TestWitnessesAreNamedTogether(t *testing.T) {
	f := &fakeStore{}
	a := newContender(0)
	a.readAll(0, f)
	a.answer(0, f)
	a.step(time.Millisecond, WitnessesChecked{Term: 1, Answered: []Witness{testWitness(1)}})
	a.step(2*time.Millisecond, WitnessesChecked{Term: 1, Answered: []Witness{testWitness(1), testWitness(2), testWitness(3)}})
	a.step(time.Second, Tick{})
	a.step(time.Second, WitnessesChecked{Term: 1, Answered: []Witness{testWitness(4)}}) // the renewal is under way
	a.answer(time.Second, f)
	if got := f.records[len(f.records)-1].Witnesses; len(got) != 3 {
		t.Errorf("named %v", got)
	}
	if got := a.core.tenure.witnesses; len(got) != 3 || a.core.tenure.proposed != nil {
		t.Errorf("named %v, and proposed %v", got, a.core.tenure.proposed)
	}
}

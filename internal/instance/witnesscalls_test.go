package instance

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/store"
	"coltsfootmux/internal/wire"
)

// newWitnessedOwner returns an owner whose stored record names its own instance as the only witness.
// Nothing passes the time to it.
func newWitnessedOwner(t *testing.T) (*owner, term.Record) {
	t.Helper()
	paused, _ := newPausedOwner(t, time.Second)
	inst := paused.inst
	waitFor := func(what string, ok func() bool) {
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never: %s", what)
			}
		}
	}
	inst.stepTerm(term.ReadResult{})
	inst.stepTerm(term.Tick{})
	waitFor("an owner", func() bool { return inst.owner.Load() != nil })
	waitFor("a witness", func() bool {
		// The instance's own check of its witnesses finds none, and may end after this one.
		inst.stepTerm(term.WitnessesChecked{Term: 1, Answered: []term.Witness{{Addr: inst.Settings.LinkAddr, ID: inst.witnessID}}})
		inst.stepTerm(term.Tick{})
		return len(inst.latestTermRecord().Witnesses) == 1
	})
	time.Sleep(20 * time.Millisecond) // the renewal's confirmation is passed on
	return inst.owner.Load(), inst.latestTermRecord()
}

// refuseTerm makes the store answer for the term no more.
func (o *owner) refuseTerm() {
	o.inst.StoreClient.(*store.Store).SetFault(store.Fault{Down: true, Topics: []external.Topic{topicTerm}})
}

// TestPromiseCountsFromItsQuestion guards against an owner that counts a promise from its arrival: the
// answer may have waited in a paused process.
func TestPromiseCountsFromItsQuestion(t *testing.T) {
	o, rec := newWitnessedOwner(t)
	o.refuseTerm() // no renewal confirms the term
	confirmedAt := func() time.Duration { return time.Duration(o.confirmedAt.Load()) }
	for name, late := range map[string]time.Duration{"at once": 0, "after a pause": 100 * time.Millisecond} {
		time.Sleep(100 * time.Millisecond)
		asked := boottime()
		time.Sleep(late)
		o.inst.askPromises(o.inst.ctx, term.AskPromises{Term: rec.Term, Renewal: rec.Renewal, Witnesses: rec.Witnesses, At: asked})
		for end := time.Now().Add(2 * time.Second); confirmedAt() < asked && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if at := confirmedAt(); at != asked {
			t.Errorf("%s: confirmed as of %v after the question", name, at-asked)
		}
	}
}

// TestContestedOwnerHandsItsTermOver guards against an owner that the store does not serve and that
// keeps its term while an instance that it serves wants to claim.
func TestContestedOwnerHandsItsTermOver(t *testing.T) {
	for name, contested := range map[string]bool{"nobody wants to claim": false, "another wants to claim": true} {
		t.Run(name, func(t *testing.T) {
			o, rec := newWitnessedOwner(t)
			inst := o.inst
			o.refuseTerm()
			time.Sleep(inst.Settings.Term.QueryPeersAfter)
			ask := term.AskPromises{Term: rec.Term, Renewal: rec.Renewal, Witnesses: rec.Witnesses, At: boottime()}
			inst.askPromises(inst.ctx, ask)
			time.Sleep(50 * time.Millisecond)
			if contested {
				inst.answerAsWitness(inst.ctx, wire.WitnessQuery{
					Ask: wire.AskConsent, Term: rec.Term, Renewal: rec.Renewal, Witness: uint64(inst.witnessID),
				})
			}
			inst.askPromises(inst.ctx, ask)
			time.Sleep(100 * time.Millisecond)
			if handedOver := inst.owner.Load() == nil; handedOver != contested {
				t.Errorf("handed the term over: %v", handedOver)
			}
		})
	}
}

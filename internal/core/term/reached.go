package term

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/witness"
)

const (
	// unreachedClaimDelay is how much later than others an instance claims a released term that too few
	// of its witnesses answer. Instances on weak machines may read the release a second later, and claim up
	// to a second after that.
	unreachedClaimDelay = 2 * time.Second
	// presenceInterval is the time between two questions whether the witnesses answer.
	presenceInterval = 500 * time.Millisecond
)

// AskPresence asks whether witnesses of a term answer this instance.
type AskPresence struct {
	Term      int64
	Witnesses []Witness
}

// ClaimUnreached reports that a claim of the term after a released one is due, and too few witnesses of
// that have answered this instance.
type ClaimUnreached struct {
	Term int64
	// Asked are the addresses of the witnesses, Answered is the number of those that have answered, and
	// Needed of those that have to.
	Asked            []string
	Answered, Needed int
	// Wait is how long the claim waits at most if the store goes on answering.
	Wait time.Duration
}

// WitnessPresent says that a witness of a term has answered this instance.
type WitnessPresent struct {
	Term    int64
	Witness witness.ID
}

func (AskPresence) action()    {}
func (ClaimUnreached) action() {}
func (WitnessPresent) event()  {}

// reach is what is known of how the witnesses of a term reach this instance.
type reach struct {
	term int64
	// others are its witnesses besides this instance, needed is how many of them have to answer.
	others   []Witness
	needed   int
	answered map[witness.ID]bool
	// nextQuery is the earliest time at which they are asked again.
	nextQuery time.Duration
	reported  bool
}

// newReach returns that of an instance that no witness has answered yet.
func newReach(term int64, witnesses []Witness, self string) reach {
	own := func(w Witness) bool { return w.Addr == self }
	others := slices.DeleteFunc(slices.Clone(witnesses), own)
	return reach{
		term: term, others: others, needed: min(len(others), witness.Consents(len(witnesses))), answered: make(map[witness.ID]bool),
	}
}

// sure reports whether enough witnesses have answered.
func (r *reach) sure() bool { return len(r.answered) >= r.needed }

// heard records that a witness has answered.
func (r *reach) heard(e WitnessPresent) {
	if e.Term == r.term && r.answered != nil {
		r.answered[e.Witness] = true
	}
}

// askAgain has the witnesses asked if that was not done lately.
func (c *Core) askAgain(r *reach) {
	if c.now < r.nextQuery {
		return
	}
	r.nextQuery = c.now + presenceInterval
	c.emit(AskPresence{Term: r.term, Witnesses: r.others})
}

// observeRelease adopts the witnesses of a term that is released by a record. A claim that follows a
// release needs nobody's consent, so nothing else shows that peers reach the claiming instance.
func (c *Core) observeRelease(r Record) {
	if !r.Released || c.latest.Released && c.latest.Term == r.Term {
		return
	}
	c.released = reach{}
	if c.latest.Term == r.Term { // else the witnesses are not known
		c.released = newReach(r.Term, c.latest.Witnesses, c.addr)
	}
}

func (c *Core) onWitnessPresent(e WitnessPresent) {
	c.released.heard(e)
	c.yieldReach.heard(e)
}

// askForPresence asks the witnesses of a released term shortly before a claim of the next one is due.
func (c *Core) askForPresence() {
	r := &c.released
	if c.ownedTerm != 0 || c.stopping || !c.storeOK || !c.latest.Released || r.sure() || c.latest.Successor == c.addr {
		return
	}
	due := c.staleAfter() - unreachedClaimDelay
	if c.unchangedFor() < due-consentLead {
		return
	}
	c.askAgain(r)
	if !r.reported && c.unchangedFor() >= due+consentReportDelay {
		r.reported = true
		c.reportUnreached()
	}
}

// isReachedForYield reports whether enough witnesses of the latest term answer this instance, so that its
// claim after a release would be in time, and has them asked.
func (c *Core) isReachedForYield() bool {
	r := &c.yieldReach
	if r.term != c.latest.Term || r.answered == nil {
		*r = newReach(c.latest.Term, c.latest.Witnesses, c.addr)
	}
	if !r.sure() {
		c.askAgain(r)
	}
	return r.sure()
}

func (c *Core) reportUnreached() {
	r := &c.released
	a := ClaimUnreached{Term: r.term, Answered: len(r.answered), Needed: r.needed, Wait: c.staleAfter() - c.unchangedFor()}
	for _, w := range r.others {
		a.Asked = append(a.Asked, w.Addr)
	}
	c.emit(a)
}

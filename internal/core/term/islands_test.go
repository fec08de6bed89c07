package term

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/core/witness"
)

// islander is an instance with a clock of its own, which may be on an island without the store.
type islander struct {
	*contender
	addr    string
	witness *witness.Core
	id      witness.ID
	// percent is the rate of its clock.
	percent time.Duration
	island  bool
	down    bool
	// allowsUntil is the true time until which it allows for owners of earlier terms.
	allowsUntil time.Duration
	// ownGrace is the time of its clock until which it allows for them in any case.
	ownGrace time.Duration
}

// islands is a cell in which instances are put on an island, killed and restarted.
type islands struct {
	t     *rapid.T
	now   time.Duration
	store fakeStore
	all   []*islander
	// starts counts the processes.
	starts int
	// late are calls that are on their way.
	late []lateCall
}

// lateCall is something that happens at a true time.
type lateCall struct {
	at time.Duration
	do func()
}

// later calls do after up to the given number of ticks.
func (s *islands) later(most int, do func()) {
	at := s.now + time.Duration(s.draw("ticks late", most))*50*time.Millisecond
	s.late = append(s.late, lateCall{at: at, do: do})
}

// doLate makes the calls that are due.
func (s *islands) doLate() {
	calls := s.late
	s.late = nil
	for _, c := range calls {
		if c.at <= s.now {
			c.do()
		} else {
			s.late = append(s.late, c)
		}
	}
}

// stepLater passes an event to a process after up to the given number of ticks, if it runs by then.
func (s *islands) stepLater(i *islander, most int, ev func() Event) {
	process := i.core
	s.later(most, func() {
		if !i.down && i.core == process {
			s.step(i, ev())
		}
	})
}

func (s *islands) start(i *islander, n int) {
	s.starts++
	name := fmt.Sprintf("node-%d/%d", n, s.starts)
	i.contender = &contender{core: New(DefaultSettings(), name, i.addr)}
	i.id = witness.IDOf(name)
	i.witness = witness.New(i.id, DefaultSettings().StaleAfter, s.clock(i))
	i.down = false
}

// clock returns the time of an instance's clock.
func (s *islands) clock(i *islander) time.Duration { return s.now * i.percent / 100 }

// trueTime returns the time at which an instance's clock shows the given one.
func (s *islands) trueTime(i *islander, clock time.Duration) time.Duration {
	return clock * 100 / i.percent
}

// reaches reports whether one instance reaches another.
func (s *islands) reaches(a, b *islander) bool { return !b.down && a.island == b.island }

// step passes an event to an instance, and answers its questions and writes at once.
func (s *islands) step(i *islander, ev Event) {
	before := i.ownedTerm
	for _, a := range i.core.Step(s.clock(i), ev) {
		switch a := a.(type) {
		case Write:
			s.write(i, a)
		case Gained:
			i.ownedTerm = a.Term
			i.ownGrace = s.clock(i) + 1300*time.Millisecond // as in package platform
			i.allowsUntil = s.trueTime(i, max(a.EarlierUntil, i.ownGrace))
		case EarlierOwnersEnd:
			i.allowsUntil = s.trueTime(i, max(a.At, i.ownGrace))
			s.check()
		case Lost:
			i.ownedTerm = 0
		case AskPromises:
			for _, w := range s.named(i, a.Witnesses) {
				if w.witness.Promise(s.clock(w), w.id, witness.Position{Term: a.Term, Renewal: a.Renewal}) {
					s.step(i, Promised{Witness: w.id, Term: a.Term, At: a.At})
				}
			}
		case AskConsents:
			for _, w := range s.named(i, a.Witnesses) {
				named := a.Witnesses[slices.IndexFunc(a.Witnesses, atAddr(w.addr))].ID
				if !i.island && w.witness.Consent(s.clock(w), named, witness.Position{Term: a.Term, Renewal: a.Renewal}) {
					s.step(i, Consented{Witness: named, Term: a.Term, Renewal: a.Renewal})
				}
			}
		case NotifyPeers:
			for _, o := range s.all {
				if o != i && s.reaches(i, o) {
					s.stepLater(o, 60, func() Event { return PeerRecord(a) })
				}
			}
		case CheckWitnesses:
			s.step(i, WitnessesChecked{Term: a.Term, Answered: s.present(i)})
		}
	}
	if i.ownedTerm != before {
		s.check()
	}
}

// named returns the instances at the addresses of witnesses that an instance reaches.
func (s *islands) named(i *islander, ws []Witness) []*islander {
	var out []*islander
	for _, o := range s.all {
		if s.reaches(i, o) && slices.ContainsFunc(ws, atAddr(o.addr)) {
			out = append(out, o)
		}
	}
	return out
}

// present returns other instances that an instance reaches, in a random order.
func (s *islands) present(i *islander) []Witness {
	var out []Witness
	for _, o := range s.all {
		if o != i && s.reaches(i, o) {
			out = append(out, Witness{Addr: o.addr, ID: o.id})
		}
	}
	if len(out) > 1 {
		return rapid.Permutation(out).Draw(s.t, "witnesses")[:1+s.draw("count", len(out)-1)]
	}
	return out
}

// write carries out a write. Some arrive late, whatever has become of their sender, and some answers are
// late or lost; what was written is read in the end.
func (s *islands) write(i *islander, w Write) {
	res := WriteResult{Outcome: WriteFailed, SentAt: s.clock(i), Record: w.Record, ExpectedEnd: w.ExpectedEnd}
	switch {
	case i.island:
		s.step(i, res)
	case s.draw("late", 5) > 0:
		s.step(i, s.executed(i, res))
	default:
		s.later(40, func() {
			res = s.executed(i, res)
			s.stepLater(i, 40, func() Event { return res })
		})
	}
}

// executed returns the result of a write that is carried out now.
func (s *islands) executed(i *islander, res WriteResult) WriteResult {
	claims := len(s.store.records) == 0 || res.Record.Term > s.store.records[len(s.store.records)-1].Term
	res.Outcome, res.End = s.store.append(Write{Record: res.Record, ExpectedEnd: res.ExpectedEnd})
	if res.Outcome == WriteDone && claims {
		s.checkClaim(res.Record.Term)
	}
	if i.island || s.draw("lost", 9) == 0 {
		res.Outcome = WriteOutcomeUnknown
	}
	return res
}

func (s *islands) draw(label string, most int) int {
	return rapid.IntRange(0, most).Draw(s.t, label)
}

// checkClaim fails if the owner of an earlier term may still start tasks.
func (s *islands) checkClaim(term int64) {
	const startGrace = 1300 * time.Millisecond // as in package platform
	for _, o := range s.all {
		if !o.down && o.ownedTerm != 0 && o.ownedTerm < term && s.trueTime(o, o.core.startConfirmedAt+startGrace) >= s.now {
			s.t.Fatalf("%s may start tasks under term %d, and term %d has been claimed", o.addr, o.ownedTerm, term)
		}
	}
}

// check fails if the owner of an earlier term renews leases for longer than a later one allows for.
func (s *islands) check() {
	for _, o := range s.all {
		for _, later := range s.all {
			if o.down || later.down || o.ownedTerm == 0 || later.ownedTerm <= o.ownedTerm {
				continue
			}
			if until := s.trueTime(o, o.core.KeptUntil()); until > later.allowsUntil {
				s.t.Fatalf("%s renews leases under term %d until %v, and the owner of term %d allows for it until %v", o.addr, o.ownedTerm, until, later.ownedTerm, later.allowsUntil)
			}
		}
	}
}

// tick lets time pass at all instances.
func (s *islands) tick() {
	s.now += 50 * time.Millisecond
	s.doLate()
	for _, i := range s.all {
		if i.down {
			continue
		}
		if i.island {
			s.step(i, ReadFailed{})
		} else {
			ev := ReadResult{Records: s.store.records[i.readEnd:], End: int64(len(s.store.records))}
			i.readEnd = len(s.store.records)
			s.step(i, ev)
		}
		s.step(i, Tick{})
	}
	if n := len(s.store.records); n > 0 {
		s.checkClaim(s.store.records[n-1].Term)
	}
	s.check()
}

// TestOwnersOnIslandsAreAllowedFor puts owners on islands with any of their witnesses, one after the
// other, at clocks of which the fastest runs 10 % faster than the slowest. Owners release their terms in every
// way, also by a notice that is not stored, and writes and notices arrive up to 3 s late. No owner may start tasks after
// a later claim, nor renew leases for longer than any later owner allows for.
func TestOwnersOnIslandsAreAllowedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &islands{t: t, now: time.Minute}
		for n := range 3 + s.draw("instances", 5) {
			i := &islander{addr: fmt.Sprintf("10.0.0.%d:1", n), percent: time.Duration(100 + 2*s.draw("clock", 5))}
			s.start(i, n)
			s.all = append(s.all, i)
		}
		for len(s.store.records) < 10 {
			s.tick()
		}
		for range 1 + s.draw("steps", 12) {
			n := s.draw("who", len(s.all)-1)
			switch i := s.all[n]; s.draw("what", 8) {
			case 0, 1, 2:
				s.divide()
			case 3:
				i.down = true
			case 4:
				s.start(i, n)
			case 5:
				s.step(i, Stopping{})
				s.start(i, n)
			case 6:
				s.eachOwner(func(o *islander) Event { return Unfit{Term: o.ownedTerm, Successor: i.addr} })
			case 7:
				s.eachOwner(func(*islander) Event { return PeersReachStore{} })
			case 8:
				s.eachOwner(func(o *islander) Event { return YieldRequested{Term: o.ownedTerm} })
			}
			for range 1 + s.draw("ticks", 200) {
				s.tick()
			}
		}
	})
}

// eachOwner passes an event to all that own a term.
func (s *islands) eachOwner(ev func(*islander) Event) {
	for _, o := range s.all {
		if !o.down && o.ownedTerm != 0 {
			s.step(o, ev(o))
		}
	}
}

// divide puts the owner on an island with random others, or ends the island.
func (s *islands) divide() {
	heals := s.draw("heals", 3) == 0
	for _, i := range s.all {
		i.island = !heals && (i.ownedTerm != 0 || s.draw("on the island", 2) > 0)
	}
}

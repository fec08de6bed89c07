package term

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestOwnerIsVotedOut(t *testing.T) {
	const tenure = 6 * time.Second
	for name, c := range map[string]struct {
		witnesses int
		vote      func(p *votePlay)
		want      bool
	}{
		"by most of five":                 {5, func(p *votePlay) { p.votes(1, 2, 3) }, true},
		"by both of two":                  {2, func(p *votePlay) { p.votes(1, 2) }, true},
		"by the only one":                 {1, func(p *votePlay) { p.votes(1) }, true},
		"not by two of five":              {5, func(p *votePlay) { p.votes(1, 2) }, false},
		"not by one of two":               {2, func(p *votePlay) { p.votes(2) }, false},
		"not by the same one three times": {5, func(p *votePlay) { p.votes(1, 1, 1) }, false},
		"not by strangers":                {5, func(p *votePlay) { p.votes(7, 8, 9) }, false},
		"not by requests to yield": {5, func(p *votePlay) {
			for w := range 5 {
				p.topic.vote(1, w+1, VoteStronger)
			}
		}, false},
		"not for reasons of later versions": {5, func(p *votePlay) {
			for w := range 5 {
				p.topic.vote(1, w+1, 99)
			}
		}, false},
		"not by votes against other terms": {5, func(p *votePlay) {
			for w := range 5 {
				p.topic.vote(int64(w%2*2), w+1, VoteSilent)
			}
		}, false},
		"not by votes of different times": {5, func(p *votePlay) {
			p.votes(1, 2)
			p.runFor(voteValidity)
			p.votes(3)
		}, false},
		"by most of those that it has replaced since": {3, func(p *votePlay) {
			p.votes(1)
			p.owner().step(p.now, WitnessesChecked{Term: 1, Answered: p.witnesses(7, 5)})
			p.runFor(time.Second)
			p.votes(2)
		}, true},
		"not by fewer than most of those": {3, func(p *votePlay) {
			p.votes(1)
			p.owner().step(p.now, WitnessesChecked{Term: 1, Answered: p.witnesses(7, 5)})
			p.runFor(time.Second)
			p.votes(7)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newVotePlay(t, c.witnesses, tenure)
			c.vote(p)
			p.runFor(time.Second)
			if got := len(p.owner().lost) > 0; got != c.want {
				t.Fatalf("the owner lost its term: %v, want %v", got, c.want)
			}
			if !c.want {
				return
			}
			if got := p.topic.latest(); got.Term != 2 || got.Owner == "node-0/1" || got.Handovers != 1 {
				t.Errorf("then %+v", got)
			}
		})
	}
}

// votes appends votes of witnesses against term 1.
func (p *votePlay) votes(voters ...int) {
	for _, w := range voters {
		p.topic.vote(1, w, VoteSilent)
	}
}

// TestOwnerThatDoesNotReadVotesCanNotRenew guards against an owner that hardly runs, or whose reads
// fail, and that keeps its term in spite of the votes.
func TestOwnerThatDoesNotReadVotesCanNotRenew(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	p.owner().deaf = true
	before := p.topic.latest().Renewal
	p.runFor(time.Second)
	if got := p.topic.latest().Renewal; got == before {
		t.Fatal("the owner does not renew its term without a vote")
	}
	p.votes(1, 2, 3)
	before = p.topic.latest().Renewal
	p.runFor(time.Second)
	if got := p.topic.latest(); got.Renewal != before || got.Released {
		t.Fatalf("renewed without having read the votes: %+v", got)
	}
	p.consent()
	p.runFor(time.Second)
	if got := p.topic.latest(); got.Term != 2 {
		t.Errorf("the record is stale and not succeeded: %+v", got)
	}
	p.runFor(2 * time.Second)
	if p.owner().ownedTerm != 0 {
		t.Error("the owner keeps its term")
	}
}

// Votes that are too few must not cost the term: each bars one renewal.
func TestVotesDoNotKeepAnOwnerFromRenewing(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	for n := range 400 {
		p.topic.vote(1, 1+n%2, VoteSilent)
		p.runFor(50 * time.Millisecond)
		if p.owner().ownedTerm != 1 {
			t.Fatalf("lost after %d votes", n+1)
		}
	}
	if got := p.topic.latest(); got.Term != 1 || got.Renewal < 40 {
		t.Errorf("term %d, renewal %d", got.Term, got.Renewal)
	}
}

// TestReleaseThatAVoteBarsIsRepeated guards against a release that is lost because a further vote
// arrives: the record would have to get stale.
func TestReleaseThatAVoteBarsIsRepeated(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	o := p.owner()
	p.votes(1, 2, 3)
	o.step(p.now, p.topic.read(o.readTo))
	o.readTo = len(p.topic.entries)
	if len(o.pending) == 0 || !o.pending[len(o.pending)-1].Record.Released {
		t.Fatalf("not released: %+v", o.pending)
	}
	p.votes(4)
	p.runFor(200 * time.Millisecond)
	if got := p.topic.latest(); got.Term != 2 {
		t.Errorf("not released again, latest is %+v", got)
	}
}

// TestReleasedTermIsNotReleasedAgainByALateConflict guards against a repeated release that would
// follow another owner's record.
func TestReleasedTermIsNotReleasedAgainByALateConflict(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	p.votes(1, 2, 3)
	o := p.owner()
	o.step(p.now, p.topic.read(o.readTo))
	o.readTo = len(p.topic.entries)
	release := o.pending[len(o.pending)-1]
	o.pending, o.sentAt = nil, nil
	p.topic.entries = append(p.topic.entries, entry{record: Record{Term: 2, Owner: "node-1/1", Addr: "10.0.0.1:1"}})
	o.step(p.now, WriteResult{Outcome: WriteConflict, Record: release.Record, ExpectedEnd: release.ExpectedEnd})
	o.step(p.now, p.topic.read(o.readTo))
	if len(o.pending) > 0 {
		t.Errorf("wrote %+v", o.pending)
	}
}

func TestVotedOutOwnerLeavesClaimsToOthers(t *testing.T) {
	p := newVotePlay(t, 2, 6*time.Second)
	p.votes(1, 2)
	p.all = p.all[:1] // the others are gone
	p.runFor(unfitClaimDelay - time.Second)
	if got := p.topic.latest(); !got.Released {
		t.Fatalf("claimed again: %+v", got)
	}
	p.runFor(2 * time.Second)
	if got := p.topic.latest(); got.Term != 2 {
		t.Errorf("nobody owns the cell: %+v", got)
	}
}

// Two instances that nobody reaches must not hand the term to and fro.
func TestLeastTenureDoublesWithEachRelease(t *testing.T) {
	for handovers, want := range map[int64]time.Duration{
		0: 5 * time.Second, 1: 10 * time.Second, 3: 40 * time.Second, 4: time.Minute, 100: time.Minute,
		math.MaxInt64: time.Minute, -1: 5 * time.Second, math.MinInt64: 5 * time.Second,
	} {
		c := newContender(0).core
		c.latest.Handovers = handovers
		if got := c.LeastTenure(); got != want {
			t.Errorf("%d releases: %v, want %v", handovers, got, want)
		}
	}
}

func TestOwnerIsNotVotedOutBeforeItsLeastTenure(t *testing.T) {
	p := newVotePlay(t, 3, time.Second)
	p.votes(1, 2)
	p.runFor(3 * time.Second)
	if len(p.owner().lost) > 0 {
		t.Fatalf("lost at %v", p.owner().lost)
	}
	p.runFor(2 * time.Second)
	if len(p.owner().lost) == 0 {
		t.Error("not lost after its least tenure")
	}
}

func TestReleasesAreForgottenAfterAMinuteOfTenure(t *testing.T) {
	p := newVotePlay(t, 3, 6*time.Second)
	p.votes(1, 2)
	p.runFor(30 * time.Second)
	if got := p.topic.latest(); got.Handovers != 1 {
		t.Errorf("%d releases after 30 s", got.Handovers)
	}
	p.runFor(40 * time.Second)
	if got := p.topic.latest(); got.Term != 2 || got.Handovers != 0 {
		t.Errorf("term %d, %d releases after 70 s", got.Term, got.Handovers)
	}
}

// TestNewestRecordsGiveVotesInAnyOrder guards against a reader that joins and gets the newest record of
// each key: votes may come before the term that they are against.
func TestNewestRecordsGiveVotesInAnyOrder(t *testing.T) {
	c := newContender(9)
	c.step(0, ReadResult{
		Votes:   []Vote{{Term: 3, Voter: idOf(1), Reason: VoteSilent, Offset: 4}, {Term: 2, Voter: idOf(2), Reason: VoteSilent, Offset: 1}},
		Records: []Record{{Term: 3, Owner: "node-0/1", Witnesses: []Witness{testWitness(1)}}},
		End:     6,
	})
	if !c.core.VotedOut() {
		t.Error("the vote was not counted")
	}
	c.step(0, ReadResult{Records: []Record{{Term: 4, Owner: "node-2/1", Witnesses: []Witness{testWitness(1)}}}, End: 7})
	if c.core.VotedOut() {
		t.Error("a vote against an earlier term counts")
	}
	// The records expired unread, and the newest ones are read again.
	c.step(0, ReadResult{Votes: []Vote{{Term: 4, Voter: idOf(1), Reason: VoteSilent, Offset: 5}}, End: 8})
	if c.core.VotedOut() {
		t.Error("a vote that was read before counts again")
	}
}

// TestNoOwnerRenewsOverAVoteThatItHasNotRead draws votes between reads, writes that are sent twice, late
// or without an answer, and claims by others. A term has one owner, and a record that is stored was
// decided on after its writer had read all votes before it.
func TestNoOwnerRenewsOverAVoteThatItHasNotRead(t *testing.T) {
	type sent struct {
		write  Write
		by     *voter
		at     time.Duration
		readTo int
	}
	rapid.Check(t, func(rt *rapid.T) {
		topic := &voteTopic{}
		all := []*voter{{contender: newContender(0)}, {contender: newContender(1)}, {contender: newContender(2)}}
		var flying []sent
		now, owners := time.Duration(0), make(map[int64]*voter)
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			p := all[rapid.IntRange(0, len(all)-1).Draw(rt, "who")]
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0, 1:
				now += time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond
				p.step(now, Tick{})
			case 2, 3:
				p.step(now, topic.read(p.readTo))
				p.readTo = len(topic.entries)
			case 4:
				topic.vote(rapid.Int64Range(0, topic.latest().Term+1).Draw(rt, "term"), rapid.IntRange(0, 4).Draw(rt, "voter"), VoteReason(rapid.IntRange(0, 3).Draw(rt, "reason")))
			case 5, 6:
				if len(flying) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(flying)-1).Draw(rt, "which")
				s := flying[n]
				outcome, end := topic.append(s.write)
				if outcome == WriteDone && s.readTo < int(end)-1 {
					for _, e := range topic.entries[s.readTo : end-1] {
						if e.vote != nil {
							rt.Fatalf("%+v was stored at %d, decided on with all up to %d read", s.write.Record, end-1, s.readTo)
						}
					}
				}
				if rapid.Bool().Draw(rt, "answered") {
					flying = append(flying[:n:n], flying[n+1:]...)
					s.by.step(now, WriteResult{Outcome: outcome, End: end, SentAt: s.at, Record: s.write.Record, ExpectedEnd: s.write.ExpectedEnd})
				}
			case 7:
				p.step(now, WitnessesChecked{Term: p.ownedTerm, Answered: []Witness{testWitness(1), testWitness(2)}})
			}
			for _, c := range all {
				for n, w := range c.pending {
					flying = append(flying, sent{w, c, c.sentAt[n], c.readTo})
				}
				c.pending, c.sentAt = nil, nil
				for _, term := range c.gained {
					if o := owners[term]; o != nil && o != c {
						rt.Fatalf("term %d has two owners", term)
					}
					owners[term] = c
				}
			}
		}
	})
}

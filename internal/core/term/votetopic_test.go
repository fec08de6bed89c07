package term

import (
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/core/witness"
)

// entry is a record of a topic that holds votes as well.
type entry struct {
	record Record
	vote   *Vote
}

// voteTopic is a topic with conditional appends of records and unconditional ones of votes.
type voteTopic struct {
	entries []entry
}

func (v *voteTopic) append(w Write) (WriteOutcome, int64) {
	if w.ExpectedEnd != int64(len(v.entries)) {
		return WriteConflict, 0
	}
	v.entries = append(v.entries, entry{record: w.Record})
	return WriteDone, int64(len(v.entries))
}

func (v *voteTopic) vote(term int64, voter int, reason VoteReason) {
	v.entries = append(v.entries, entry{vote: &Vote{Term: term, Voter: testWitness(voter).ID, Reason: reason}})
}

func (v *voteTopic) read(from int) ReadResult {
	ev := ReadResult{End: int64(len(v.entries))}
	for at, e := range v.entries[from:] {
		if e.vote == nil {
			ev.Records = append(ev.Records, e.record)
			continue
		}
		vote := *e.vote
		vote.Offset = int64(from + at)
		ev.Votes = append(ev.Votes, vote)
	}
	return ev
}

// latest returns the latest record of the term.
func (v *voteTopic) latest() Record {
	for _, e := range slices.Backward(v.entries) {
		if e.vote == nil {
			return e.record
		}
	}
	return Record{}
}

// voter is a contender on a voteTopic. Its reads and the answers to its writes take no time unless
// they are switched off.
type voter struct {
	*contender
	readTo int
	// deaf says that its reads get no answer.
	deaf bool
	lost []time.Duration
}

func (p *voter) run(now time.Duration, v *voteTopic) {
	owned := p.ownedTerm
	if !p.deaf {
		p.step(now, v.read(p.readTo))
		p.readTo = len(v.entries)
	}
	p.step(now, Tick{AllTopicsReachable: true})
	for len(p.pending) > 0 {
		p.answer(now, v)
	}
	if owned != 0 && p.ownedTerm == 0 {
		p.lost = append(p.lost, now)
	}
}

func (p *voter) answer(now time.Duration, v *voteTopic) {
	w, at := p.pending[0], p.sentAt[0]
	p.pending, p.sentAt = p.pending[1:], p.sentAt[1:]
	outcome, end := v.append(w)
	if outcome == WriteDone && int(end)-1 == p.readTo {
		p.readTo = int(end)
	}
	p.step(now, WriteResult{Outcome: outcome, End: end, SentAt: at, Record: w.Record, ExpectedEnd: w.ExpectedEnd})
}

// votePlay is an owner, which is contender 0, and others that are its witnesses.
type votePlay struct {
	topic *voteTopic
	all   []*voter
	now   time.Duration
}

// newVotePlay returns a play in which contender 0 has owned term 1 for the given time, with the others
// as witnesses.
func newVotePlay(t *testing.T, witnesses int, tenure time.Duration) *votePlay {
	p := &votePlay{topic: &voteTopic{}}
	for n := range witnesses + 1 {
		p.all = append(p.all, &voter{contender: newContender(n)})
	}
	p.all[0].run(0, p.topic)
	p.all[0].step(0, WitnessesChecked{Term: 1, Answered: p.witnesses(1, witnesses)})
	p.runFor(tenure)
	if p.all[0].ownedTerm != 1 || len(p.topic.latest().Witnesses) != witnesses {
		t.Fatalf("contender 0 owns term %d: %+v", p.all[0].ownedTerm, p.topic.latest())
	}
	return p
}

func (p *votePlay) witnesses(first, n int) (out []Witness) {
	for w := range n {
		out = append(out, testWitness(first+w))
	}
	return out
}

// runFor lets time pass.
func (p *votePlay) runFor(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := p.now + d; p.now < end; {
		p.now += tick
		for _, c := range p.all {
			c.run(p.now, p.topic)
		}
	}
}

// consent has the witnesses consent to a claim that follows the latest record.
func (p *votePlay) consent() {
	r := p.topic.latest()
	for _, c := range p.all[1:] {
		for _, w := range r.Witnesses {
			c.step(p.now, Consented{Witness: w.ID, Term: r.Term, Renewal: r.Renewal})
		}
	}
}

func (p *votePlay) owner() *voter { return p.all[0] }

func idOf(n int) witness.ID { return testWitness(n).ID }

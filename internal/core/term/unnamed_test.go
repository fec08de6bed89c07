package term

import (
	"testing"
	"time"
)

// newUnnamedPlay returns a play in which contender 0 has owned term 1 for the given time and found no
// witnesses.
func newUnnamedPlay(t *testing.T, others int, tenure time.Duration) *votePlay {
	p := &votePlay{topic: &voteTopic{}}
	for n := range others + 1 {
		p.all = append(p.all, &voter{contender: newContender(n)})
	}
	p.all[1].core.settings.ClaimDelay = 0
	p.owner().run(0, p.topic)
	p.runFor(tenure)
	if r := p.topic.latest(); p.owner().ownedTerm != 1 || len(r.Witnesses) > 0 {
		t.Fatalf("contender 0 owns term %d: %+v", p.owner().ownedTerm, r)
	}
	return p
}

// TestOwnerThatNamesNoWitnessesIsVotedOut guards against an instance that no peer reaches, which claims a
// released term and keeps it: it names no witnesses, as none answers it.
func TestOwnerThatNamesNoWitnessesIsVotedOut(t *testing.T) {
	p := newUnnamedPlay(t, 3, 6*time.Second)
	if !p.all[1].core.JudgesFewNamed() {
		t.Error("a strong instance does not judge the owner")
	}
	if p.owner().core.JudgesFewNamed() || p.all[2].core.JudgesFewNamed() {
		t.Error("the owner, or a weak instance, does")
	}
	p.votes(1)
	p.runFor(time.Second)
	if p.owner().ownedTerm != 1 {
		t.Fatal("voted out by one instance")
	}
	p.votes(2)
	p.runFor(time.Second)
	if p.owner().ownedTerm != 0 {
		t.Error("not voted out by two instances")
	}
}

// TestNewOwnerIsNotJudgedByAll guards against checks by a whole fleet after each claim: the first renewals
// name no witnesses yet.
func TestNewOwnerIsNotJudgedByAll(t *testing.T) {
	p := newUnnamedPlay(t, 2, fewNamedAfter-100*time.Millisecond)
	if p.all[1].core.JudgesFewNamed() {
		t.Error("judged before it could find witnesses")
	}
	p.owner().step(p.now, WitnessesChecked{Term: 1, Answered: p.witnesses(1, 2)})
	p.runFor(time.Minute)
	if p.all[1].core.JudgesFewNamed() {
		t.Error("judged although it names witnesses")
	}
}

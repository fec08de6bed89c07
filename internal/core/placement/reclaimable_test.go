package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// TestAGuaranteedShapeIsReclaimedFromAnyState plays random events, then has an
// account ask for a shape that it is entitled to and does not hold. It must
// begin once borrowers have left, within the bound on reclaim.
func TestAGuaranteedShapeIsReclaimedFromAnyState(t *testing.T) {
	asked := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newPlayer(t)
		p.play()
		p.answerAll()
		for _, k := range p.order {
			if j, ok := p.core.jobs[k]; ok && j.state == jobWaiting {
				p.jobs[k].cancelled = true
				p.step(Cancelled{Key: k})
			}
		}
		u := p.unusedUnit()
		if u == nil {
			return
		}
		asked++
		w := model.Work{
			Key: "mine", Account: u.acc.name, Class: model.ClassNormal, Members: 1, Shape: u.shape,
		}
		p.jobs[w.Key] = &played{work: w, since: p.now}
		p.order = append(p.order, w.Key)
		from := p.now
		p.step(Submitted{Work: w, Attempt: 1})
		for range 100 {
			if p.hasBegun(w.Key) {
				break
			}
			p.obey()
			p.now = p.now.Add(100 * time.Millisecond)
			p.step(Tick{})
		}
		if !p.hasBegun(w.Key) {
			why, _ := p.core.Why(w.Key)
			t.Fatalf("%s did not get %+v back: %s", u.acc.name, u.shape, why)
		}
		if took := p.now.Sub(from); took > p.doc.Defaults.ReclaimWithin.D() {
			t.Fatalf("reclaim took %v", took)
		}
	})
	if asked == 0 {
		t.Fatal("no run had a guarantee to reclaim")
	}
}

// answersMost bounds the Begins that one moment may bring.
const answersMost = 1000

// answerAll says of every Begin under way that it came through, unless its cell
// was lost.
func (p *player) answerAll() {
	for n := 0; len(p.begins) > 0; n++ {
		if n > answersMost {
			p.t.Fatalf("begins never settle")
		}
		b := p.begins[0]
		p.begins = p.begins[1:]
		if b.Group == refusedGroup || p.jobs[b.Work.Key].aborted {
			p.step(BeginFailed{Key: b.Work.Key})
			continue
		}
		for _, part := range b.Parts {
			p.tasks = append(p.tasks, &playedTask{part: part, work: b.Work, attempt: b.Attempt})
		}
		p.jobs[b.Work.Key].begun = true
		p.step(Started{Key: b.Work.Key})
	}
}

// unusedUnit gives an entitled unit that its account does not hold.
func (p *player) unusedUnit() *unit {
	for _, cl := range p.core.order {
		for _, u := range cl.units {
			if u.at != nil && u.shape.Fits(u.at.ownRoom(u.acc)) {
				return u
			}
		}
	}
	return nil
}

func (p *player) hasBegun(k model.Key) bool {
	for _, b := range p.begins {
		if b.Work.Key == k {
			return true
		}
	}
	return p.jobs[k].begun
}

// obey ends every task that was asked to leave, and answers all other Begins.
func (p *player) obey() {
	for _, t := range p.tasks {
		held, live := p.core.tasks[t.part.Lease]
		if t.ended || !live || !held.job.leaving() {
			continue
		}
		t.ended = true
		p.step(Ended{Worker: t.part.Worker, Ending: platform.Ending{Lease: t.part.Lease, State: platform.EndCheckpointed}})
	}
	if !p.hasBegun("mine") {
		p.answerAll()
	}
}

package placement

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// player feeds a core random events as a shell and workers would, and checks
// its promises after each.
type player struct {
	t     *rapid.T
	core  *Core
	now   time.Time
	doc   *config.Document
	n     int
	jobs  map[model.Key]*played
	order []model.Key
	// begins are Begins that were not answered yet, controls what was asked of tasks.
	begins  []Begin
	tasks   []*playedTask
	down    map[model.WorkerID]bool
	away    map[model.CellID]bool
	doomed  map[model.LeaseID]bool
	version config.Version
	events  []Event
	times   []time.Time
	steps   [][]Action
}

type played struct {
	work      model.Work
	since     time.Time
	cancelled bool
	answered  bool
	begun     bool
	aborted   bool
}

type playedTask struct {
	part    Part
	work    model.Work
	ended   bool
	attempt int
}

func newPlayer(t *rapid.T) *player {
	racks := rapid.IntRange(1, 3).Draw(t, "racks")
	var cells []model.Cell
	for i := range racks {
		cells = append(cells, testCell(fmt.Sprintf("r%d", i), rapid.IntRange(1, 4).Draw(t, "workers")))
	}
	d := testDoc(cells...)
	for i := range d.Accounts {
		if rapid.Bool().Draw(t, "guaranteed") {
			d.Accounts[i].Guarantees = []config.Guarantee{{
				Shape: one.Times(rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "shape")),
				Count: rapid.IntRange(1, 3).Draw(t, "count"),
			}}
		}
	}
	p := &player{
		t: t, core: New("self"), now: epoch0, doc: d,
		jobs: make(map[model.Key]*played), down: make(map[model.WorkerID]bool),
		away: make(map[model.CellID]bool), doomed: make(map[model.LeaseID]bool), version: 1,
	}
	p.step(Configured{Config: &config.Versioned{Version: 1, Document: *d}})
	for _, cl := range cells {
		p.step(CellGained{Cell: cl, Epoch: 16})
	}
	return p
}

func (p *player) step(ev Event) {
	as := p.core.Step(p.now, ev)
	p.events = append(p.events, ev)
	p.times = append(p.times, p.now)
	p.steps = append(p.steps, as)
	for _, a := range as {
		p.take(a)
	}
	if err := p.core.Verify(); err != nil {
		p.t.Fatalf("%v after %T %+v", err, ev, ev)
	}
	p.checkWaits()
}

func (p *player) take(a Action) {
	switch x := a.(type) {
	case Begin:
		j := p.jobs[x.Work.Key]
		if j.cancelled || j.answered {
			p.t.Fatalf("%s began after it was cancelled or answered", x.Work.Key)
		}
		if len(x.Parts) != j.work.Members {
			p.t.Fatalf("%s began with %d of %d members", x.Work.Key, len(x.Parts), j.work.Members)
		}
		if j.begun && !j.work.Idempotent && len(p.tasksOf(x.Work.Key)) > 0 {
			p.t.Fatalf("non-idempotent %s began twice: %s", x.Work.Key, p.history(x.Work.Key))
		}
		p.begins = append(p.begins, x)
	case Abort:
		p.jobs[x.Key].aborted = true
	case Control:
		p.checkControl(x)
	case Refuse:
		p.answer(x.Key)
	case Complete:
		p.answer(x.Key)
		for _, t := range p.tasksOf(x.Key) {
			if !t.ended && !p.down[t.part.Worker] && !p.away[t.part.Cell] {
				p.t.Fatalf("%s is complete while %s runs", x.Key, t.part.Lease)
			}
		}
	}
}

func (p *player) checkControl(x Control) {
	if p.doomed[x.Lease] && x.Verb == platform.VerbStop {
		return
	}
	for _, t := range p.tasks {
		if t.part.Lease == x.Lease {
			return
		}
	}
	p.t.Fatalf("control of a lease that never started: %s", x.Lease)
}

func (p *player) answer(k model.Key) {
	j := p.jobs[k]
	if j.answered {
		p.t.Fatalf("%s answered twice: %s", k, p.history(k))
	}
	j.answered = true
}

func (p *player) tasksOf(k model.Key) []*playedTask {
	var out []*playedTask
	for _, t := range p.tasks {
		if t.work.Key == k {
			out = append(out, t)
		}
	}
	return out
}

// checkWaits checks that nothing waits past its bound unanswered.
func (p *player) checkWaits() {
	longest := p.doc.Defaults.LongestWait.D()
	for _, k := range p.order {
		j := p.jobs[k]
		if j.answered || j.begun {
			continue
		}
		if _, waits := p.core.Why(k); waits && p.core.jobs[k].state != jobBeginning &&
			p.now.Sub(j.since) > longest {
			p.t.Fatalf("%s has waited since %v at %v", k, j.since, p.now)
		}
	}
}

func (p *player) play() {
	moves := map[string]func(*rapid.T){
		"submit": func(*rapid.T) { p.submit() },
		"burst":  func(*rapid.T) { p.burst() },
		"cancel": func(*rapid.T) { p.cancel() },
		"wave":   func(*rapid.T) { p.cancelWave() },
		"begin":  func(*rapid.T) { p.answerBegin() },
		"begin2": func(*rapid.T) { p.answerBegin() },
		"begin3": func(*rapid.T) { p.answerBegin() },
		"end":    func(*rapid.T) { p.endOne() },
		"end2":   func(*rapid.T) { p.endOne() },
		"worker": func(*rapid.T) { p.worker() },
		"pass":   func(*rapid.T) { p.pass() },
		"use":    func(*rapid.T) { p.use() },
		"lose":   func(*rapid.T) { p.loseCell() },
		"gain":   func(*rapid.T) { p.gainCell() },
		"config": func(*rapid.T) { p.configure() },
	}
	p.t.Repeat(moves)
}

func TestPromisesHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newPlayer(t).play() })
}

func TestTheSameEventsGiveTheSameActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlayer(t)
		p.play()
		again := New("self")
		for i, ev := range p.events {
			if got := again.Step(p.times[i], ev); !reflect.DeepEqual(got, p.steps[i]) {
				t.Fatalf("step %d %T: %+v, first %+v", i, ev, got, p.steps[i])
			}
		}
	})
}

// history tells what happened to one piece of work.
func (p *player) history(k model.Key) string {
	out := ""
	for i, as := range p.steps {
		for _, a := range as {
			s := fmt.Sprintf("%T%+v", a, a)
			if strings.Contains(s, string(k)) {
				out += fmt.Sprintf("\n%d %T%+v -> %s", i, p.events[i], p.events[i], s)
			}
		}
	}
	return out
}

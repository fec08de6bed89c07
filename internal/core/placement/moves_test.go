package placement

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

func (p *player) submit() {
	p.n++
	w := model.Work{
		Key:     model.Key(fmt.Sprint("k", p.n)),
		Account: rapid.SampledFrom([]model.Account{"a", "b", "c"}).Draw(p.t, "account"),
		Kind:    rapid.SampledFrom([]model.Kind{"x", "y"}).Draw(p.t, "kind"),
		Class:   rapid.SampledFrom([]model.Class{model.ClassBatch, model.ClassNormal, model.ClassUrgent}).Draw(p.t, "class"),
		Members: rapid.SampledFrom([]int{1, 1, 1, 2, 4, 9}).Draw(p.t, "members"),
		Shape:   one.Times(rapid.SampledFrom([]int{1, 2, 4, 8, 9}).Draw(p.t, "shape")),
		Adjacency: rapid.SampledFrom([]model.Adjacency{
			model.AdjacentAny, model.AdjacentDC, model.AdjacentRack, model.AdjacentWorker,
		}).Draw(p.t, "adjacency"),
		Preemptible: rapid.Bool().Draw(p.t, "preemptible"),
		Idempotent:  rapid.Bool().Draw(p.t, "idempotent"),
		DeclaredRun: time.Duration(rapid.IntRange(0, 100).Draw(p.t, "declared")) * time.Second,
	}
	p.jobs[w.Key] = &played{work: w, since: p.now}
	p.order = append(p.order, w.Key)
	p.step(Submitted{Work: w, Attempt: 1})
}

func (p *player) burst() {
	for range rapid.IntRange(2, 12).Draw(p.t, "burst") {
		p.submit()
	}
}

func (p *player) cancel() {
	if len(p.order) == 0 {
		return
	}
	k := rapid.SampledFrom(p.order).Draw(p.t, "cancel")
	p.jobs[k].cancelled = true
	p.step(Cancelled{Key: k})
}

func (p *player) cancelWave() {
	for _, k := range p.order {
		if !p.jobs[k].answered {
			p.jobs[k].cancelled = true
			p.step(Cancelled{Key: k})
		}
	}
}

func (p *player) answerBegin() {
	if len(p.begins) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.begins)-1).Draw(p.t, "begin")
	b := p.begins[i]
	p.begins = append(p.begins[:i:i], p.begins[i+1:]...)
	if b.Group == refusedGroup || rapid.IntRange(0, 4).Draw(p.t, "refused") == 0 {
		p.step(BeginFailed{Key: b.Work.Key, Worker: b.Parts[0].Worker, Fault: true})
		return
	}
	for _, part := range b.Parts {
		p.tasks = append(p.tasks, &playedTask{part: part, work: b.Work, attempt: b.Attempt})
	}
	p.jobs[b.Work.Key].begun = true
	p.step(Started{Key: b.Work.Key})
}

func (p *player) endOne() {
	var live []*playedTask
	for _, t := range p.tasks {
		if !t.ended {
			live = append(live, t)
		}
	}
	if len(live) == 0 {
		return
	}
	t := rapid.SampledFrom(live).Draw(p.t, "task")
	t.ended = true
	state := rapid.SampledFrom([]platform.EndState{
		platform.EndDone, platform.EndDone, platform.EndFailed, platform.EndStopped,
		platform.EndCheckpointed, platform.EndLapsed,
	}).Draw(p.t, "state")
	ran := time.Duration(rapid.IntRange(1, 100_000).Draw(p.t, "ran")) * time.Millisecond
	p.step(Ended{Worker: t.part.Worker, Ending: platform.Ending{Lease: t.part.Lease, State: state, Ran: ran}})
}

func (p *player) worker() {
	cl := rapid.SampledFrom(p.doc.Fleet.Cells).Draw(p.t, "cell")
	w := rapid.SampledFrom(cl.Workers).Draw(p.t, "worker").ID
	up := rapid.Bool().Draw(p.t, "up")
	p.down[w] = p.down[w] || !up
	p.step(WorkerSeen{Worker: w, Up: up, Leaving: rapid.Bool().Draw(p.t, "leaving")})
}

func (p *player) pass() {
	p.now = p.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(p.t, "ms")) * time.Millisecond)
	p.step(Tick{})
}

func (p *player) use() {
	if len(p.tasks) == 0 {
		return
	}
	t := rapid.SampledFrom(p.tasks).Draw(p.t, "task")
	used := t.part.Shape
	used.CPUMilli = used.CPUMilli * rapid.IntRange(1, 30).Draw(p.t, "times")
	p.step(Used{Lease: t.part.Lease, Used: used, At: p.now.Add(-time.Second)})
}

// refusedGroup marks a Begin that workers refuse because its cell was lost.
const refusedGroup = 99

// doom notes the leases of a Begin that lost a cell: they may be stopped before
// they are known to have started.
func (p *player) doom(b Begin) {
	for _, part := range b.Parts {
		p.doomed[part.Lease] = true
	}
}

// loseCell gives a cell to another scheduler.
func (p *player) loseCell() {
	if rapid.IntRange(0, 3).Draw(p.t, "rarely") > 0 {
		return
	}
	id := rapid.SampledFrom(p.doc.Fleet.Cells).Draw(p.t, "cell").ID
	if p.away[id] {
		return
	}
	p.away[id] = true
	for i, b := range p.begins {
		for _, part := range b.Parts {
			if part.Cell == id {
				p.begins[i].Group = refusedGroup
				p.doom(b)
			}
		}
	}
	p.step(CellLost{Cell: id})
}

// gainCell takes a cell back with what still runs there.
func (p *player) gainCell() {
	for _, cl := range p.doc.Fleet.Cells {
		if !p.away[cl.ID] {
			continue
		}
		p.away[cl.ID] = false
		ev := CellGained{Cell: cl, Epoch: 32}
		for _, t := range p.tasks {
			if t.part.Cell != cl.ID || t.ended {
				continue
			}
			if p.down[t.part.Worker] {
				t.ended = true
				continue
			}
			ev.Running = append(ev.Running, Running{Worker: t.part.Worker, Leased: platform.Leased{
				Lease: t.part.Lease, Cell: cl.ID, Shape: t.part.Shape, Started: true,
				Label: platform.Label{
					Key: t.work.Key, Account: t.work.Account, Kind: t.work.Kind, Member: t.part.Member,
					Members: t.work.Members, Preemptible: t.work.Preemptible, Idempotent: t.work.Idempotent,
					Class: t.work.Class, Attempt: t.attempt,
				},
			}})
		}
		p.step(ev)
		return
	}
}

// configure changes who is guaranteed what, and drains workers.
func (p *player) configure() {
	if rapid.IntRange(0, 3).Draw(p.t, "rarely") > 0 {
		return
	}
	p.version++
	d := *p.doc
	d.Accounts = slices.Clone(d.Accounts)
	for i := range d.Accounts {
		d.Accounts[i].Guarantees = nil
		if rapid.Bool().Draw(p.t, "guaranteed") {
			d.Accounts[i].Guarantees = []config.Guarantee{{
				Shape: one.Times(rapid.SampledFrom([]int{2, 4, 8}).Draw(p.t, "shape")),
				Count: rapid.IntRange(1, 3).Draw(p.t, "count"), Adjacency: model.AdjacentRack,
			}}
		}
	}
	drain := rapid.Bool().Draw(p.t, "drain")
	cl := rapid.SampledFrom(d.Fleet.Cells).Draw(p.t, "cell")
	d.Exceptions = []config.Exception{{
		ID: "x", Reason: "test", Drain: &drain, Worker: cl.Workers[0].ID,
		Expires: p.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(p.t, "s")) * time.Second),
	}}
	p.step(Configured{Config: &config.Versioned{Version: p.version, Document: d}})
}

package ownership

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// bench drives one core against workers that answer at once.
type bench struct {
	c   *Core
	now time.Time
	did []Action
	// next is the offset of the next append; log off leaves appends unread.
	next model.Offset
	off  bool
	// epochs is what each worker has seen, by worker and scope.
	epochs map[string]model.Epoch
	// born is when each worker's incarnation began, dead those that don't answer.
	born map[model.WorkerID]time.Time
	dead map[model.WorkerID]bool
	echo uint64
}

func newBench(self string) *bench {
	m := model.Member{Host: model.HostID(self), Boot: "1"}
	b := &bench{
		c:      New(Settings{Self: m}),
		now:    start,
		next:   1,
		epochs: make(map[string]model.Epoch),
		born:   make(map[model.WorkerID]time.Time),
		dead:   make(map[model.WorkerID]bool),
	}
	return b
}

func workers(n int) (ws []model.Worker) {
	for i := range n {
		ws = append(ws, model.Worker{ID: model.WorkerID(fmt.Sprintf("w%d", i))})
	}
	return ws
}

func cellTarget() Target {
	return Target{Scope: model.CellScope("c"), Workers: workers(3)}
}

func groupTarget() Target {
	return Target{
		Scope:     model.GroupScope(0),
		Workers:   workers(5),
		Witnesses: []model.WorkerID{"w0", "w1", "w2"},
	}
}

func (b *bench) hostList(ids ...model.HostID) {
	var hs []model.Host
	for _, id := range ids {
		hs = append(hs, model.Host{ID: id, Role: model.RoleScheduler, State: model.HostLive})
	}
	b.step(HostsSeen{hs})
}

// step takes an event in and answers what the core asks of workers and log.
func (b *bench) step(ev Event) {
	queue := []Event{ev}
	for len(queue) > 0 {
		did := b.c.Step(b.now, queue[0])
		queue = queue[1:]
		b.did = append(b.did, did...)
		for _, a := range did {
			if r := b.answer(a); r != nil {
				queue = append(queue, r)
			}
		}
	}
}

func (b *bench) answer(a Action) Event {
	switch a := a.(type) {
	case AppendClaim:
		if b.off {
			return nil
		}
		b.next++
		return ClaimRead{Offset: b.next - 1, At: b.now, Claim: a.Claim}
	case Fence:
		if b.dead[a.Worker.ID] {
			return nil
		}
		k := string(a.Worker.ID) + a.Scope.String()
		r := FenceAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID}
		r.Fenced = platform.Fenced{Incarnation: b.inc(a.Worker.ID), Since: b.now.Sub(b.bornAt(a.Worker.ID)), Previous: b.epochs[k]}
		if a.Epoch < b.epochs[k] {
			r.Err = platform.ErrStaleEpoch
		} else {
			b.epochs[k] = a.Epoch
		}
		return r
	case List:
		if b.dead[a.Worker.ID] {
			return nil
		}
		return ListAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Listing: platform.Listing{
			Incarnation: b.inc(a.Worker.ID), EndedSince: time.Hour,
		}}
	case Hold:
		k := string(a.Worker.ID) + a.Scope.String()
		if b.dead[a.Worker.ID] {
			return nil
		}
		b.echo++
		return HoldAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Sent: b.now, Held: platform.Held{
			Incarnation: b.inc(a.Worker.ID), Highest: b.epochs[k], Echo: b.echo, Refused: b.epochs[k] > a.Epoch,
		}}
	}
	return nil
}

func (b *bench) bornAt(w model.WorkerID) time.Time {
	if at, ok := b.born[w]; ok {
		return at
	}
	return start.Add(-time.Hour)
}

func (b *bench) inc(w model.WorkerID) string { return b.bornAt(w).String() }

func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.step(Tick{})
	}
}

func of[T Action](as []Action) []T {
	var out []T
	for _, a := range as {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func (b *bench) configure(ts ...Target) {
	b.step(Configured{ts})
	b.step(CaughtUp{})
}

// successor makes b a successor of another host's claim on a target, and that
// host's start known.
func (b *bench) successor(t Target, rank int) model.Offset {
	line := []model.Member{{Host: "a", Boot: "1"}, {Host: "b", Boot: "1"}, {Host: "c", Boot: "1"}}
	line[rank] = b.c.set.Self
	for _, m := range line {
		b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{Scope: model.Scope{Kind: model.ScopeHost, Name: string(m.Host)}, Line: []model.Member{m}}})
		b.next++
	}
	at := b.next
	b.next++
	b.step(ClaimRead{Offset: at, At: b.now, Claim: model.Claim{Scope: t.Scope, Line: line}})
	return at
}

func TestAnUnownedCellIsClaimedFencedListedAndGained(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.configure(cellTarget())
	b.wait(time.Second)
	gains := of[Gain](b.did)
	if len(gains) != 1 || len(gains[0].Found) != 3 || gains[0].Epoch == 0 {
		t.Fatalf("gains: %+v", gains)
	}
	if e, ok := b.c.Owned(model.CellScope("c")); !ok || e != gains[0].Epoch {
		t.Errorf("owned under %d, %v", e, ok)
	}
}

func TestASilentOwnerIsReplacedWhileTheLogIsDown(t *testing.T) {
	for rank, after := range map[int]time.Duration{1: 1500 * time.Millisecond, 2: 1800 * time.Millisecond} {
		b := newBench("self")
		b.hostList("a", "b", "c", "self")
		b.configure(cellTarget())
		at := b.successor(cellTarget(), rank)
		b.off = true
		b.wait(after - 50*time.Millisecond)
		if len(of[Gain](b.did)) != 0 {
			t.Errorf("rank %d took over early", rank)
		}
		b.wait(100 * time.Millisecond)
		gains := of[Gain](b.did)
		if len(gains) != 1 || gains[0].Epoch != model.EpochOf(at, rank) {
			t.Errorf("rank %d: gains %+v", rank, gains)
		}
	}
}

func TestAClaimWrittenLaterRaisesTheEpochWithoutLosingTheCell(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "b", "c", "self")
	b.configure(cellTarget())
	at := b.successor(cellTarget(), 1)
	b.off = true
	b.wait(4 * time.Second)
	b.off = false
	b.wait(4 * time.Second)
	raises := of[Raise](b.did)
	if len(raises) != 1 || raises[0].Epoch <= model.EpochOf(at, 1) {
		t.Fatalf("raises %+v", raises)
	}
	if len(of[Lose](b.did)) != 0 || len(of[Gain](b.did)) != 1 {
		t.Error("the cell was lost or gained again")
	}
}

func TestARefusedEpochGivesTheScopeUpAtOnce(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.configure(cellTarget())
	b.wait(time.Second)
	e, _ := b.c.Owned(model.CellScope("c"))
	b.step(Refused{Scope: model.CellScope("c"), Epoch: e - 1})
	if len(of[Lose](b.did)) != 0 {
		t.Error("lost over the refusal of an older epoch")
	}
	b.step(Refused{Scope: model.CellScope("c"), Epoch: e})
	if len(of[Lose](b.did)) != 1 {
		t.Error("not lost")
	}
}

func TestAnotherStartOfTheSameHostIsNoSuccessor(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "self")
	b.configure(cellTarget())
	line := []model.Member{{Host: "a", Boot: "1"}, {Host: "self", Boot: "0"}}
	b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{Scope: model.CellScope("c"), Line: line}})
	b.next++
	b.wait(5 * time.Second)
	if len(of[Fence](b.did)) != 0 {
		t.Error("fenced under the epoch of an earlier start")
	}
}

func TestADrainingOwnerTellsItsSuccessorAndTakesNothingMore(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "b", "self")
	for _, h := range []model.HostID{"a", "b"} {
		b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{Scope: model.Scope{Kind: model.ScopeHost}, Line: []model.Member{{Host: h, Boot: "1"}}}})
		b.next++
	}
	b.configure(cellTarget())
	b.wait(3 * time.Second)
	if b.c.OwnedCount() != 1 {
		t.Fatal("not owned")
	}
	b.step(Drain{})
	b.wait(30 * time.Second)
	if len(of[TellHandOver](b.did)) != 1 || b.c.OwnedCount() != 0 {
		t.Error("not handed over")
	}
}

func TestTheFirstClaimThatReplacesTheCurrentOneWins(t *testing.T) {
	b := newBench("z")
	b.hostList("a", "b", "z")
	b.configure(cellTarget())
	claim := func(h model.HostID, replaces model.Offset) {
		b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{Scope: model.CellScope("c"), Replaces: replaces, Line: []model.Member{{Host: h}}}})
		b.next++
	}
	claim("a", 0)
	claim("b", 0)
	claim("c", 1)
	claim("d", 2)
	claim("e", 1)
	if o, _ := b.c.Owner(model.CellScope("c")); o.Host != "c" {
		t.Errorf("owner %s", o.Host)
	}
}

func TestBeatsGoToSuccessorsOnly(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "b", "c", "d", "e", "self")
	for _, h := range []model.HostID{"a", "b", "c", "d", "e"} {
		b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{Scope: model.Scope{Kind: model.ScopeHost}, Line: []model.Member{{Host: h, Boot: "1"}}}})
		b.next++
	}
	b.configure(cellTarget())
	b.wait(4 * time.Second)
	to := make(map[model.HostID]bool)
	for _, x := range of[Beat](b.did) {
		to[x.To.Host] = true
	}
	if len(to) != 3 {
		t.Errorf("beats to %v", to)
	}
}

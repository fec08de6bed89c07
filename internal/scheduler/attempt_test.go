package scheduler

import (
	"log/slog"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// whole is all the room of the one worker of the tests here.
var whole = model.Shape{Slots: 1, CPUMilli: 1000, MemoryMB: 1024}

// oneWorkerLoop gives a loop without goroutines that owns a cell of one worker.
func oneWorkerLoop(t *testing.T) *loop {
	t.Helper()
	pool := link.NewPool(link.PoolOptions{Self: "h1", Region: "home"})
	t.Cleanup(func() { _ = pool.Close() })
	s := &Scheduler{
		o:     Options{Self: model.Host{ID: "h1"}, Logger: slog.New(slog.DiscardHandler), Pool: pool, Timing: DefaultTiming()},
		inbox: make(chan message, 16),
		done:  make(chan struct{}),
	}
	l := newLoop(s)
	l.ctx = t.Context()
	cell := model.Cell{ID: "c1", DataCentre: "dc1", Workers: []model.Worker{{ID: "w1", Capacity: whole}}}
	doc := config.Document{Accounts: []config.Account{{Name: "orders", Share: 1}}}
	doc.Fleet = config.Fleet{
		KeyGroups: 1, CellsPerGroup: 1, Witnesses: 1,
		DataCentres: []config.DataCentre{{Name: "dc1", Region: "home"}}, Cells: []model.Cell{cell},
	}
	second := config.Duration(time.Second)
	doc.Defaults = config.Defaults{LongestWait: 20 * second, LargeWait: second, UrgentWait: second, LeaseTTL: second, QueueBound: 10}
	l.conf = &config.Versioned{Version: 1, Document: doc}
	l.maps = mapping.New(doc.Fleet)
	l.pl.Step(now(), placement.Configured{Config: l.conf})
	l.pl.Step(now(), placement.CellGained{Cell: cell, Epoch: 1})
	l.own.Step(now(), ownership.Configured{Targets: []ownership.Target{{Scope: model.CellScope("c1"), Workers: cell.Workers}}})
	return l
}

// try starts an attempt that waits for its holds, as an owner hands it out.
func (l *loop) try(k model.Key, number int) {
	w := model.Work{Key: k, Account: "orders", Members: 1, Shape: whole}
	l.attempts[k] = &attempt{work: w, number: number, cancel: func() {}}
	l.stepPlace(placement.Submitted{Work: w, Attempt: number, Cells: []model.CellID{"c1"}})
}

// endHolds lets every start that waits for holds fail, and takes in what it says.
func (l *loop) endHolds() {
	for _, a := range l.awaiting {
		a.until = now()
	}
	l.holdsChanged()
	l.handle(<-l.s.inbox)
}

func TestAWithdrawnStartGivesItsRoomBackAndLetsTheNextAttemptGo(t *testing.T) {
	l := oneWorkerLoop(t)
	l.try("k", 1)
	if len(l.awaiting) != 1 {
		t.Fatal("the first attempt does not wait for its holds")
	}
	l.own.Step(now(), ownership.ClaimRead{Offset: 1, At: now(), Claim: model.Claim{
		Scope: model.CellScope("c1"), Line: []model.Member{{Host: "h2", Addr: "127.0.0.1:1", Boot: "b"}},
	}})

	l.doLedger(ledger.Withdraw{Key: "k"})
	l.doLedger(ledger.Dispatch{Work: l.attempts["k"].work, Attempt: 2})
	l.endHolds()

	if at := l.attempts["k"]; at == nil || at.number != 2 || at.from.Host != "h2" {
		t.Errorf("the second attempt was not handed out: %+v", at)
	}
	l.try("other", 1)
	if len(l.awaiting) != 1 {
		t.Error("the room of the withdrawn attempt is still taken")
	}
}

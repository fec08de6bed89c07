package confsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/standin/fault"
)

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 40)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		time.Sleep(10 * time.Second)
		before, sent := g.calls.Load(), g.bytes.Load()
		from := time.Now()
		v := g.mustPublish(g.all()[0], "second")
		g.waitInForce(v)
		t.Logf("40 hosts: in force everywhere %v after the call", time.Since(from))
		time.Sleep(time.Second)
		pushes := g.calls.Load() - before
		t.Logf("%d calls, %d bytes of records, in the second around the change", pushes, g.bytes.Load()-sent)
		// Each host pushes to two others and asks one every two seconds.
		if pushes > 40*(DefaultFanOut+1) {
			t.Errorf("%d calls for one change at 40 hosts", pushes)
		}
	})
}

func TestHostCutOffFromTheLogLearnsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 9)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		hosts := g.all()
		for _, h := range hosts[1:4] {
			h.logCut.Store(true)
		}
		for i := range 5 {
			v := g.mustPublish(hosts[0], fmt.Sprint("r", i))
			t.Logf("in force after %v with 3 of 9 hosts cut off", g.waitInForce(v))
		}
	})
}

func TestHostThatStartsCutOffLearnsByAsking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 9)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		late := g.start()
		late.logCut.Store(true)
		g.waitInForce(1)
		if !g.ready(late, inForceTimeout) {
			t.Error("not ready although every other host confirmed the version")
		}
	})
}

func TestAllHostsReplacedWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 6)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		v := g.mustPublish(g.all()[0], "second")
		g.waitInForce(v)
		g.setLogDown(true)
		for _, old := range g.all() {
			h := g.start()
			if !g.ready(h, inForceTimeout) || h.version() != v {
				t.Fatalf("new host: version %d, ready %v", h.version(), h.store.Ready())
			}
			g.stopHost(old)
		}
		g.setLogDown(false)
		time.Sleep(5 * time.Second)
		next := g.mustPublish(g.all()[0], "third")
		if next != v+1 {
			t.Errorf("next version %d, want %d", next, v+1)
		}
		g.waitInForce(next)
	})
}

func TestAllHostsReplacedAtOnceLearnFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 3)
		v := g.mustPublish(g.all()[0], "first")
		g.stopAll()
		for range 3 {
			g.start()
		}
		defer g.stopAll()
		g.waitInForce(v)
	})
}

func TestHostAloneWithoutTheLogIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 1)
		g.mustPublish(g.all()[0], "first")
		g.stopAll()
		g.setLogDown(true)
		h := g.start()
		defer g.stopAll()
		if g.ready(h, inForceTimeout) {
			t.Fatal("ready without any configuration")
		}
		g.setLogDown(false)
		if !g.ready(h, inForceTimeout) || h.version() != 1 {
			t.Errorf("version %d after the log came back", h.version())
		}
	})
}

func TestOneOfConcurrentPublishersWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 5)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		for round := range 5 {
			before := g.all()[0].version()
			var wg sync.WaitGroup
			var mu sync.Mutex
			rulings := make(map[settings.Ruling]int)
			for i, h := range g.all() {
				wg.Go(func() {
					v, err := g.publish(h, fmt.Sprintf("r%d-%d", round, i))
					if err != nil {
						t.Error(err)
					}
					mu.Lock()
					defer mu.Unlock()
					rulings[v.Ruling]++
				})
			}
			wg.Wait()
			if rulings[settings.RulingAccepted] != 1 || rulings[settings.RulingConflict] != 4 {
				t.Fatalf("rulings %v", rulings)
			}
			g.waitInForce(before + 1)
		}
	})
}

func TestPublishDuringAnOutageIsNeverLostSilently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 3)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		g.setLogDown(true)
		_, err := g.publish(g.all()[0], "second")
		if !errors.Is(err, ErrNotRecorded) && !errors.Is(err, ErrPending) {
			t.Fatalf("got %v", err)
		}
		g.setLogDown(false)
		time.Sleep(30 * time.Second)
		got := g.all()[0].version()
		if errors.Is(err, ErrNotRecorded) && got != 1 {
			t.Errorf("version %d although the change was not recorded", got)
		}
		g.waitInForce(got)
	})
}

func TestLostAppendAnswerGivesOneChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 3)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		g.log.SetFault(fault.Fault{LoseAnswers: 1})
		v, err := g.publish(g.all()[0], "second")
		if err != nil || v.Ruling != settings.RulingAccepted || v.Version != 2 {
			t.Fatalf("%v %v", v, err)
		}
		time.Sleep(time.Minute)
		g.waitInForce(2)
		if got := g.all()[0].version(); got != 2 {
			t.Errorf("version %d", got)
		}
	})
}

func TestVersionSurvivesTheLogsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 3)
		defer g.stopAll()
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		v := g.mustPublish(g.all()[0], "second")
		g.waitInForce(v)
		time.Sleep(3 * time.Hour)
		g.stopAll()
		h := g.start()
		if !g.ready(h, inForceTimeout) || h.version() != v {
			t.Fatalf("version %d after the records expired, want %d", h.version(), v)
		}
		if n := g.mustPublish(h, "third"); n != v+1 {
			t.Errorf("next version %d", n)
		}
	})
}

func TestPublisherLearnsItsRulingFromAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 3)
		defer g.stopAll()
		time.Sleep(time.Second)
		// The publisher can't read its own record from the log: it first gets it in
		// another host's snapshot, later as another host's record.
		h := g.all()[0]
		h.logCut.Store(true)
		for want := range 3 {
			if v := g.mustPublish(h, fmt.Sprint("r", want)); int(v) != want+1 {
				t.Fatalf("version %d, want %d", v, want+1)
			}
		}
	})
}

func TestForcedDocumentStartsHostsOnALogThatLostItsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 1)
		v := g.mustPublish(g.all()[0], "first")
		g.stopAll()
		time.Sleep(3 * time.Hour)
		for range 3 {
			g.start()
		}
		defer g.stopAll()
		time.Sleep(inForceTimeout)
		for _, h := range g.all() {
			if h.version() != 0 || h.store.Ready() {
				t.Fatalf("version %d, ready %v from a log without records", h.version(), h.store.Ready())
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), inForceTimeout)
		defer cancel()
		rec := &settings.Record{ID: "forced", Base: v + 1000, Author: "ada", Reason: "log lost", At: time.Now(), Force: true}
		rec.Change.Document = &config.Document{Accounts: []config.Account{{Name: "lab"}}}
		got, err := g.all()[0].store.Publish(ctx, rec)
		if err != nil || got.Version != v+1001 {
			t.Fatalf("%v %v", got, err)
		}
		g.waitInForce(got.Version)
		g.waitInForce(g.mustPublish(g.all()[0], "next"))
	})
}

func TestUnresponsiveHostsDoNotDelayAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 9)
		defer g.stopAll()
		g.addUnresponsive(9)
		g.waitInForce(g.mustPublish(g.all()[0], "first"))
		time.Sleep(10 * time.Second)
		hosts := g.all()
		for _, h := range hosts[1:5] {
			h.logCut.Store(true)
		}
		for i := range 10 {
			g.waitInForce(g.mustPublish(hosts[0], fmt.Sprint("r", i)))
		}
		late := g.start()
		late.logCut.Store(true)
		g.waitInForce(g.mustPublish(hosts[0], "last"))
	})
}

func TestNewHostReadsTheEndOfTheLogAndNotAllOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 1)
		h := g.all()[0]
		const changes = 500
		for i := range changes {
			g.mustPublish(h, fmt.Sprint("r", i))
		}
		time.Sleep(20 * time.Minute)
		v := h.version()
		g.stopAll()
		before := g.reads.Load()
		h = g.start()
		defer g.stopAll()
		if !g.ready(h, inForceTimeout) || h.version() != v {
			t.Fatalf("version %d, want %d", h.version(), v)
		}
		if n := g.reads.Load() - before; n > changes/10 {
			t.Errorf("read %d of more than %d entries", n, changes)
		}
	})
}

func TestNewHostFindsTheOnlyStartAtTheOldestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 1)
		h := g.all()[0]
		for i := range 300 {
			g.mustPublish(h, fmt.Sprint("r", i))
		}
		g.stopAll()
		// No snapshot was due yet, so that all records must be read.
		h = g.start()
		defer g.stopAll()
		if !g.ready(h, 2*inForceTimeout) || h.version() != 300 {
			t.Fatalf("version %d, want 300", h.version())
		}
	})
}

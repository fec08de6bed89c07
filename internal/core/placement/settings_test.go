package placement

import (
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

func TestExceptionsOverrideDefaults(t *testing.T) {
	wait := config.Duration(5 * time.Second)
	bound := 3
	urgent := "urgent"
	d := testDoc(testCell("r1", 1))
	d.Accounts[1].LongestWait = config.Duration(7 * time.Second)
	d.Exceptions = []config.Exception{
		{ID: "wait", Reason: "on the phone", Account: "a", Kind: "call", LongestWait: &wait},
		{ID: "queue", Reason: "misbehaves", Account: "c", QueueBound: &bound},
		{ID: "class", Reason: "audit week", Kind: "audit", Class: &urgent},
		{ID: "old", Reason: "over", Account: "a", LongestWait: &wait, Expires: epoch0.Add(-time.Second)},
	}
	s := newSettings(d, epoch0, &settings{})
	for name, c := range map[string]struct{ got, want any }{
		"an exception for an account's kind holds for it":       {s.longestWait("a", "call"), 5 * time.Second},
		"it does not hold for another kind, nor an expired one": {s.longestWait("a", "other"), 60 * time.Second},
		"an account's own setting beats the default":            {s.longestWait("b", "other"), 7 * time.Second},
		"a queue bound of one account leaves others alone":      {s.queueBound("b", "x"), 1000},
		"a queue bound holds for all kinds of its account":      {s.queueBound("c", "x"), 3},
		"a class is forced on a kind of all accounts": {
			s.class(&model.Work{Account: "b", Kind: "audit", Class: model.ClassBatch}), model.ClassUrgent,
		},
		"other work keeps its class": {
			s.class(&model.Work{Account: "b", Kind: "x", Class: model.ClassBatch}), model.ClassBatch,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Fatalf("got %v, want %v", c.got, c.want)
			}
		})
	}
}

func TestAnOlderConfigurationChangesNothing(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	newer := testDoc(testCell("r1", 1))
	newer.Accounts = newer.Accounts[:1]
	r.step(Configured{Config: &config.Versioned{Version: 5, Document: *newer}})
	r.step(Configured{Config: &config.Versioned{Version: 4, Document: *testDoc(testCell("r1", 1))}})
	if got := first[Refuse](r, r.submit(work("k", "b"))); got.Reason != model.ReasonUnknownAccount {
		t.Fatalf("got %s", got.Reason)
	}
}

func TestAWorkerThatIsNoLongerConfiguredGetsNoNewWork(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 2)))
	d := testDoc(testCell("r1", 1))
	r.step(Configured{Config: &config.Versioned{Version: 2, Document: *d}})
	w := work("k", "a")
	w.Shape = size
	if b := first[Begin](r, r.submit(w)); b.Parts[0].Worker != "r1-0" {
		t.Fatalf("began on %s", b.Parts[0].Worker)
	}
	w.Key = "k2"
	if got := all[Begin](r.submit(w)); len(got) > 0 {
		t.Fatalf("got %+v", got)
	}
}

func TestThePlanIsWorkedOutAnewOnlyWhenItsBasisChanges(t *testing.T) {
	yes := true
	for name, c := range map[string]struct {
		change func(d *config.Document)
		same   bool
	}{
		"a longer wait keeps it":       {func(d *config.Document) { d.Defaults.LongestWait *= 2 }, true},
		"an account's share keeps it":  {func(d *config.Document) { d.Accounts[1].Share = 3 }, true},
		"another guarantee changes it": {func(d *config.Document) { d.Accounts[0].Guarantees = nil }, false},
		"a drain changes it": {func(d *config.Document) {
			d.Exceptions = []config.Exception{{ID: "x", Reason: "r", Cell: "r1", Drain: &yes}}
		}, false},
		"another worker changes it": {func(d *config.Document) { d.Fleet.Cells = []model.Cell{testCell("r1", 3)} }, false},
	} {
		t.Run(name, func(t *testing.T) {
			before := newSettings(guaranteed1(), epoch0, &settings{})
			d := guaranteed1()
			c.change(d)
			after := newSettings(d, epoch0, &before)
			if same := after.plan == before.plan; same != c.same {
				t.Fatalf("same plan: %v", same)
			}
		})
	}
}

func guaranteed1() *config.Document { return withGuarantee(testDoc(testCell("r1", 2)), "a", 1) }

package share

import (
	"fmt"
	"testing"
	"time"
)

const (
	testOveruse  = 3.0
	testCapacity = 1000.0
)

var testClass = Class{Pool: "p", Priority: 1}

// alike returns accounts with the same guarantee.
func alike(n int) map[string]int {
	out := make(map[string]int)
	for i := range n {
		out[fmt.Sprintf("a%d", i)] = 8
	}
	return out
}

// usesOf splits what accounts use into jobs of 10 cores that take a second.
func usesOf(now time.Duration, cores map[string]float64) []Use {
	var out []Use
	for account, n := range cores {
		for i := range int(n / 10) {
			out = append(out, Use{Account: account, Job: fmt.Sprintf("%v-%d", now.Truncate(time.Second), i), Cores: 10})
		}
	}
	return out
}

// usedFor returns accounts that have used the given cores for a time, and when that ended.
func usedFor(d time.Duration, guarantees map[string]int, cores map[string]float64) (*Accounts, time.Duration) {
	a, now := New(0), time.Duration(0)
	a.SetGuarantees(guarantees)
	a.Update(now, usesOf(now, cores), testCapacity)
	for now < d {
		now += 250 * time.Millisecond
		a.Update(now, usesOf(now, cores), testCapacity)
	}
	return a, now
}

func waitingFor(d time.Duration, accounts ...string) []Waiting {
	var out []Waiting
	for _, a := range accounts {
		out = append(out, Waiting{Account: a, Class: testClass, For: d})
	}
	return out
}

// Guards against accounts that count as over their share although nobody waits for them, or
// although their guarantee covers what they use.
func TestWhoIsOverItsShare(t *testing.T) {
	large := map[string]float64{"a0": 800, "a1": 100, "a2": 100}
	for name, c := range map[string]struct {
		guarantees map[string]int
		cores      map[string]float64
		waiting    []Waiting
		want       int
	}{
		"others wait":                          {alike(10), large, waitingFor(time.Second, "a0", "a1"), 1},
		"only its own work waits":              {alike(10), large, waitingFor(time.Second, "a0"), 0},
		"others have waited for a moment":      {alike(10), large, waitingFor(50*time.Millisecond, "a0", "a1"), 0},
		"its guarantee is large":               {map[string]int{"a0": 40, "a1": 8, "a2": 8}, large, waitingFor(time.Second, "a1"), 0},
		"an account without a guarantee":       {map[string]int{"a0": 0, "a1": 8, "a2": 40}, large, waitingFor(time.Second, "a1"), 1},
		"an account that no policy names":      {map[string]int{"a1": 8, "a2": 8, "a3": 8}, large, waitingFor(time.Second, "a1"), 1},
		"no guarantees at all":                 {nil, large, waitingFor(time.Second, "a1"), 0},
		"little use of an almost empty pool":   {alike(10), map[string]float64{"a0": 20}, waitingFor(time.Second, "a1"), 0},
		"work of an account without any usage": {alike(10), large, waitingFor(time.Second, "new"), 1},
		"all who wait use more than allowed": {
			alike(10), map[string]float64{"a0": 500, "a1": 500}, waitingFor(time.Second, "a0", "a1"), 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, now := usedFor(20*time.Second, c.guarantees, c.cores)
			quiet := a.Quiet(testOveruse)
			_, changes := a.Decide(now, testOveruse, c.waiting)
			if quiet && len(changes) > 0 {
				t.Errorf("changes %+v of quiet accounts", changes)
			}
			if a.Over() != c.want || len(changes) != c.want {
				t.Errorf("%d accounts over their share, want %d: %+v, %+v", a.Over(), c.want, changes, a.States())
			}
		})
	}
}

// Guards against an account that flaps around the threshold, and one that stays over its share
// for ever.
func TestAccountReturnsWithinItsShare(t *testing.T) {
	a, now := usedFor(20*time.Second, alike(10), map[string]float64{"a0": 500, "a1": 500})
	waiting := waitingFor(time.Second, "a2")
	later := map[string]float64{"a1": 250}
	for n := range 8 {
		later[fmt.Sprintf("a%d", n+2)] = 750.0 / 8
	}
	if _, changes := a.Decide(now, testOveruse, waiting); len(changes) != 2 {
		t.Fatalf("changes %+v", changes)
	}
	changed := 0
	for end := now + 30*time.Second; now < end; now += 250 * time.Millisecond {
		a.Update(now, usesOf(now, later), testCapacity)
		_, changes := a.Decide(now, testOveruse, waiting)
		for _, ch := range changes {
			changed++
			if ch.Account == "a0" && (ch.Over || ch.Ratio > testOveruse*returnPart) {
				t.Errorf("at %v: %+v", now, ch)
			}
		}
	}
	if changed != 1 || a.byName["a0"].over || !a.byName["a1"].over {
		t.Errorf("%d changes, states %+v", changed, a.States())
	}
	for end := now + 2*maxQuiet; now < end; now += 250 * time.Millisecond {
		a.Decide(now, testOveruse, nil)
	}
	if a.Over() != 0 {
		t.Errorf("%d accounts over their share without waiting work", a.Over())
	}
}

// Guards against an order that holds work back behind nobody, or behind another account that
// uses more.
func TestOrderOfAccounts(t *testing.T) {
	a, now := usedFor(20*time.Second, alike(10), map[string]float64{"a0": 500, "a1": 400, "a2": 100})
	order, _ := a.Decide(now, testOveruse, waitingFor(time.Second, "a0", "a1", "a2"))
	large, less, within := order.Overuse("a0", testClass), order.Overuse("a1", testClass), order.Overuse("a2", testClass)
	if within != 0 || less <= within || large <= less {
		t.Errorf("overuse %g, %g, %g", large, less, within)
	}
	if o := order.Overuse("a0", Class{Pool: "p", Priority: 2}); o != 0 {
		t.Errorf("overuse %g in a class in which nobody waits", o)
	}
	if o := order.Overuse("unknown", testClass); o != 0 {
		t.Errorf("overuse %g of an unknown account", o)
	}
}

// Guards against memory that grows with the accounts that were ever seen.
func TestUnknownAccountsAreForgotten(t *testing.T) {
	a, now := usedFor(time.Second, alike(2), map[string]float64{"old": 100})
	for range 600 {
		now += 250 * time.Millisecond
		a.Update(now, nil, testCapacity)
	}
	if len(a.States()) != 2 {
		t.Errorf("accounts %+v", a.States())
	}
}

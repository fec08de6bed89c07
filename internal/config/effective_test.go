package config

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func ptr[T any](v T) *T { return &v }

func TestEffectiveLimits(t *testing.T) {
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	base := Document{
		Defaults: Defaults{Concurrency: 10, QueueBound: 100, RatePerSecond: 5, LongestWait: Duration(time.Minute)},
		Accounts: []Account{{Name: "lab", Concurrency: 20}, {Name: "clinic"}},
	}
	cases := map[string]struct {
		exceptions []Exception
		account    model.Account
		want       int
	}{
		"the default applies if nothing overrides it":  {nil, "clinic", 10},
		"an unknown account has the defaults":          {nil, "nobody", 10},
		"the account's value overrides the default":    {nil, "lab", 20},
		"an exception for all overrides the account":   {[]Exception{{ID: "a", Concurrency: ptr(1)}}, "lab", 1},
		"an exception for another account is ignored":  {[]Exception{{ID: "a", Account: "clinic", Concurrency: ptr(1)}}, "lab", 20},
		"an exception for another kind is ignored":     {[]Exception{{ID: "a", Kind: "sweep", Concurrency: ptr(1)}}, "lab", 20},
		"an account overrides a kind":                  {[]Exception{{ID: "a", Account: "lab", Concurrency: ptr(2)}, {ID: "b", Kind: "check", Concurrency: ptr(1)}}, "lab", 2},
		"account and kind override an account":         {[]Exception{{ID: "a", Account: "lab", Kind: "check", Concurrency: ptr(3)}, {ID: "b", Account: "lab", Concurrency: ptr(2)}}, "lab", 3},
		"of equally specific ones the greater id wins": {[]Exception{{ID: "a", Account: "lab", Concurrency: ptr(2)}, {ID: "b", Account: "lab", Concurrency: ptr(4)}}, "lab", 4},
		"an expired exception is ignored":              {[]Exception{{ID: "a", Concurrency: ptr(1), Expires: now}}, "lab", 20},
		"one that has not expired applies":             {[]Exception{{ID: "a", Concurrency: ptr(1), Expires: now.Add(1)}}, "lab", 1},
		"zero admits nothing of an account":            {[]Exception{{ID: "a", Account: "lab", Concurrency: ptr(0)}}, "lab", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			doc := base
			doc.Exceptions = c.exceptions
			if got := doc.Effective(now, c.account, "check").Concurrency; got != c.want {
				t.Errorf("concurrency %d, want %d", got, c.want)
			}
		})
	}
}

func TestEffectiveGivesEveryLimit(t *testing.T) {
	doc := Document{
		Accounts:   []Account{{Name: "lab", DataCentres: []model.DataCentre{"ala1"}, RatePerSecond: 7, QueueBound: 9}},
		Exceptions: []Exception{{ID: "a", Account: "lab", LongestWait: ptr(Duration(time.Second)), Class: ptr("urgent")}},
	}
	l := doc.Effective(time.Time{}, "lab", "")
	if l.LongestWait != time.Second || l.Class == nil || *l.Class != model.ClassUrgent {
		t.Errorf("exception not applied: %+v", l)
	}
	if l.RatePerSecond != 7 || l.QueueBound != 9 || len(l.DataCentres) != 1 {
		t.Errorf("account not applied: %+v", l)
	}
}

func TestDrained(t *testing.T) {
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	dc := Exception{ID: "1", DataCentre: "rix1", Drain: ptr(true)}
	cell := Exception{ID: "2", Cell: "r1", Drain: ptr(true)}
	worker := Exception{ID: "3", Worker: "w1", Drain: ptr(true)}
	lift := Exception{ID: "0", Worker: "w1", Drain: ptr(false)}
	old := Exception{ID: "4", Cell: "r1", Drain: ptr(true), Expires: now}
	cases := map[string]struct {
		exceptions []Exception
		cell       model.CellID
		worker     model.WorkerID
		want       bool
	}{
		"nothing is drained without exceptions":             {nil, "r1", "w1", false},
		"a worker is drained by its id":                     {[]Exception{worker}, "r1", "w1", true},
		"another worker of the cell is not":                 {[]Exception{worker}, "r1", "w2", false},
		"a worker is drained with its cell":                 {[]Exception{cell}, "r1", "w2", true},
		"a worker is drained with its data centre":          {[]Exception{dc}, "r1", "w2", true},
		"another data centre is not":                        {[]Exception{dc}, "r2", "w9", false},
		"a worker can be exempt from a data centre's drain": {[]Exception{lift, dc}, "r1", "w1", false},
		"the cell as a whole is not drained by a worker":    {[]Exception{worker}, "r1", "", false},
		"an expired drain is ignored":                       {[]Exception{old}, "r1", "w1", false},
		"a drained cell does not drain another one":         {[]Exception{cell}, "r2", "w9", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			doc := Document{Exceptions: c.exceptions, Fleet: Fleet{Cells: []model.Cell{{ID: "r1", DataCentre: "rix1"}, {ID: "r2", DataCentre: "ala1"}}}}
			if got := doc.Drained(now, c.cell, c.worker); got != c.want {
				t.Errorf("drained %v, want %v", got, c.want)
			}
		})
	}
}

func TestDiff(t *testing.T) {
	a := mustParse(t, sample)
	cases := map[string]struct {
		old, replacement string
		want             []Change
	}{
		"nothing":              {"audit week", "audit week", nil},
		"the order of a list":  {"    - {name: rix1, region: home}\n    - {name: ala1, region: away}", "    - {name: ala1, region: away}\n    - {name: rix1, region: home}", nil},
		"a field":              {"longestWait: 90s", "longestWait: 80s", []Change{{"accounts[clinic].longestWait", `"1m30s"`, `"1m20s"`}}},
		"a default":            {"accounts:\n", "defaults: {maxAttempts: 5}\naccounts:\n", []Change{{"defaults.maxAttempts", "3", "5"}}},
		"a worker":             {"127.0.0.1:7003", "127.0.0.1:7004", []Change{{"fleet.cells[ala1-r1].workers[w3].addr", `"127.0.0.1:7003"`, `"127.0.0.1:7004"`}}},
		"an exception's place": {"    cell: rix1-r1", "    cell: ala1-r1", []Change{{"exceptions[e1].cell", `"rix1-r1"`, `"ala1-r1"`}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Diff(a, mustParse(t, edit(t, c.old, c.replacement)))
			if len(got) != len(c.want) {
				t.Fatalf("got %v", got)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("got %v, want %v", got[i], c.want[i])
				}
			}
		})
	}
}

func TestDiffFromNilListsEveryItem(t *testing.T) {
	got := Diff(nil, mustParse(t, sample))
	seen := make(map[string]bool)
	for _, c := range got {
		seen[c.Path] = c.Before == "" && c.After != ""
	}
	for _, want := range []string{"fleet.cells[rix1-r1]", "accounts[lab]", "exceptions[e2]", "defaults.leaseTTL"} {
		if !seen[want] {
			t.Errorf("%s is missing from %v", want, got)
		}
	}
}

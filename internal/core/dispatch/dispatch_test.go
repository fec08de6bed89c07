package dispatch

import (
	"slices"
	"testing"

	"coltsfootmux/internal/model"
)

type view struct {
	owners map[model.CellID]model.HostID
	fits   []model.CellID
}

func (v view) Owner(c model.CellID) (model.Member, bool) {
	h, ok := v.owners[c]
	return model.Member{Host: h}, ok
}

func (v view) Possible(_ *model.Work, cells []model.CellID) bool {
	return slices.ContainsFunc(cells, func(c model.CellID) bool { return slices.Contains(v.fits, c) })
}

func TestChoose(t *testing.T) {
	owners := map[model.CellID]model.HostID{"a": "h1", "b": "h2", "c": "h3", "d": "h2"}
	cases := map[string]struct {
		v    view
		q    Question
		host model.HostID
		want Verdict
	}{
		"its own cell comes before the preferred one": {
			v: view{owners, []model.CellID{"a", "b"}},
			q: Question{Self: "h2", Near: []model.CellID{"a", "b"}}, host: "h2", want: Send,
		},
		"a cell that could never hold it is passed over": {
			v: view{owners, []model.CellID{"a"}},
			q: Question{Self: "h2", Near: []model.CellID{"a", "b"}}, host: "h1", want: Send,
		},
		"an owner that refused is not asked again": {
			v: view{owners, []model.CellID{"a", "b"}},
			q: Question{Self: "h2", Near: []model.CellID{"a", "b"}, Tried: []model.HostID{"h2"}}, host: "h1", want: Send,
		},
		"work is exhausted when all that fit have refused": {
			v: view{owners, []model.CellID{"a"}},
			q: Question{Self: "h2", Near: []model.CellID{"a", "b"}, Tried: []model.HostID{"h1"}}, want: Exhausted,
		},
		"work that fits nowhere is impossible": {
			v: view{owners, nil}, q: Question{Near: []model.CellID{"a", "b"}}, want: Impossible,
		},
		"work waits for a cell without an owner": {
			v: view{owners, nil}, q: Question{Near: []model.CellID{"a", "x"}}, want: Hold,
		},
		"non-idempotent work stays in its group's cells": {
			v: view{owners, []model.CellID{"c"}},
			q: Question{Near: []model.CellID{"a"}, Far: func() []model.CellID { return []model.CellID{"c"} }}, want: Impossible,
		},
		"idempotent work may go further": {
			v: view{owners, []model.CellID{"c"}},
			q: Question{Work: &model.Work{Idempotent: true}, Near: []model.CellID{"a"}, Far: func() []model.CellID { return []model.CellID{"c"} }}, host: "h3", want: Send,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.q.Work == nil {
				c.q.Work = &model.Work{}
			}
			got, verdict := Choose(c.v, c.q)
			if verdict != c.want || got.Owner.Host != c.host {
				t.Fatalf("got %q, %d; want %q, %d", got.Owner.Host, verdict, c.host, c.want)
			}
		})
	}
}

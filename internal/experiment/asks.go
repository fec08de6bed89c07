package experiment

import (
	"slices"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// asks keeps, for each account with a guarantee, whether it waits for room that
// it is guaranteed and does not hold.
type asks struct {
	of    map[model.Account]*ask
	order []*ask
}

// ask is one account's side of its guarantees.
type ask struct {
	guaranteed model.Shape
	used       model.Shape
	waiting    []*live
	unmet      bool
	busyFor    time.Duration
	unmetFor   time.Duration
}

func newAsks(d *config.Document) *asks {
	a := &asks{of: make(map[model.Account]*ask)}
	for _, acc := range d.Accounts {
		if len(acc.Guarantees) == 0 {
			continue
		}
		k := &ask{}
		for _, g := range acc.Guarantees {
			k.guaranteed = k.guaranteed.Add(g.Shape.Times(g.Count))
		}
		a.of[acc.Name] = k
		a.order = append(a.order, k)
	}
	return a
}

func (a *asks) waits(l *live) {
	if k, ok := a.of[l.job.Work.Account]; ok {
		k.waiting = append(k.waiting, l)
		k.weigh()
	}
}

func (a *asks) left(l *live) {
	if k, ok := a.of[l.job.Work.Account]; ok {
		k.waiting = slices.DeleteFunc(k.waiting, func(o *live) bool { return o == l })
		k.weigh()
	}
}

func (a *asks) begun(l *live, members int) {
	if k, ok := a.of[l.job.Work.Account]; ok {
		k.used = k.used.Add(l.job.Work.Shape.Times(members))
		k.weigh()
	}
}

func (a *asks) ended(t *fakeTask) {
	if k, ok := a.of[t.live.job.Work.Account]; ok {
		k.used = k.used.Sub(t.part.Shape)
		k.weigh()
	}
}

// weigh finds out whether some waiting work fits into the unused guarantee.
func (k *ask) weigh() {
	room := k.guaranteed.Sub(k.used)
	k.unmet = slices.ContainsFunc(k.waiting, func(l *live) bool {
		return l.job.Work.Total().Fits(room)
	})
}

func (a *asks) passed(d time.Duration) {
	for _, k := range a.order {
		if len(k.waiting) > 0 || !k.used.IsZero() {
			k.busyFor += d
		}
		if k.unmet {
			k.unmetFor += d
		}
	}
}

// share is the part of the accounts' busy time in which a guarantee was unmet.
func (a *asks) share() float64 {
	var busy, unmet time.Duration
	for _, k := range a.order {
		busy += k.busyFor
		unmet += k.unmetFor
	}
	if busy == 0 {
		return 0
	}
	return unmet.Seconds() / busy.Seconds()
}

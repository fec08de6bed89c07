package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// Limits are the limits that apply to one account's work of one kind.
type Limits struct {
	LongestWait   time.Duration
	RatePerSecond float64
	Concurrency   int
	QueueBound    int
	// Class replaces the class that the caller asked for; nil when the caller's applies.
	Class *model.Class
	// DataCentres lists where the work may run; empty for anywhere.
	DataCentres []model.DataCentre
}

// Effective returns the limits that apply at a time: the defaults, overridden by
// the account's own, then by exceptions that have not expired, the most specific
// last. Of equally specific exceptions, the one with the greater id wins in a
// canonical document.
func (d *Document) Effective(now time.Time, account model.Account, kind model.Kind) Limits {
	l := d.Defaults.limits()
	if a := d.Account(account); a != nil {
		l.applyAccount(a)
	}
	var matching []*Exception
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.selects(account, kind) && e.ActiveAt(now) {
			matching = append(matching, e)
		}
	}
	for rank := range rankCount {
		for _, e := range matching {
			if e.rank() == rank {
				l.applyException(e)
			}
		}
	}
	return l
}

func (d *Defaults) limits() Limits {
	return Limits{
		LongestWait:   d.LongestWait.D(),
		RatePerSecond: d.RatePerSecond,
		Concurrency:   d.Concurrency,
		QueueBound:    d.QueueBound,
	}
}

func (l *Limits) applyAccount(a *Account) {
	l.DataCentres = a.DataCentres
	setNonZero(&l.LongestWait, a.LongestWait.D())
	setNonZero(&l.RatePerSecond, a.RatePerSecond)
	setNonZero(&l.Concurrency, a.Concurrency)
	setNonZero(&l.QueueBound, a.QueueBound)
}

func (l *Limits) applyException(e *Exception) {
	if e.LongestWait != nil {
		l.LongestWait = e.LongestWait.D()
	}
	if e.RatePerSecond != nil {
		l.RatePerSecond = *e.RatePerSecond
	}
	if e.Concurrency != nil {
		l.Concurrency = *e.Concurrency
	}
	if e.QueueBound != nil {
		l.QueueBound = *e.QueueBound
	}
	if e.Class != nil {
		if c, ok := model.ParseClass(*e.Class); ok {
			l.Class = &c
		}
	}
}

// setNonZero sets a field to value unless value is zero.
func setNonZero[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

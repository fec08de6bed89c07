package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// Limits are the values in force for one account's work of one kind.
type Limits struct {
	LongestWait   time.Duration
	RatePerSecond float64
	Concurrency   int
	QueueBound    int
	// Class is the forced class; nil when the caller's own holds.
	Class *model.Class
	// DataCentres lists where the work may run; empty for anywhere.
	DataCentres []model.DataCentre
}

// Effective gives the limits in force at a time: the defaults, then the
// account's own, then exceptions that have not expired, the most specific last.
// Of exceptions equally specific, the one with the greater id wins.
func (d *Document) Effective(now time.Time, account model.Account, kind model.Kind) Limits {
	l := d.Defaults.limits()
	if a := d.Account(account); a != nil {
		l.account(a)
	}
	var found []*Exception
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.selects(account, kind) && e.ActiveAt(now) {
			found = append(found, e)
		}
	}
	for rank := range specificRanks {
		for _, e := range found {
			if e.rank() == rank {
				l.exception(e)
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

func (l *Limits) account(a *Account) {
	l.DataCentres = a.DataCentres
	setOver(&l.LongestWait, a.LongestWait.D())
	setOver(&l.RatePerSecond, a.RatePerSecond)
	setOver(&l.Concurrency, a.Concurrency)
	setOver(&l.QueueBound, a.QueueBound)
}

func (l *Limits) exception(e *Exception) {
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

// setOver sets a field to a value that is not zero.
func setOver[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

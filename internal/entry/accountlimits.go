package entry

import (
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// accountLimits are the limits of one account at one entry host.
type accountLimits struct {
	ratePerSecond float64
	concurrency   int
	dataCentres   []model.DataCentre
}

// limitsOf gives an account's limits; ok is false for an unknown account.
func limitsOf(d *config.Document, name model.Account) (l accountLimits, ok bool) {
	i := slices.IndexFunc(d.Accounts, func(a config.Account) bool { return a.Name == name })
	if i < 0 {
		return l, false
	}
	a := &d.Accounts[i]
	l = accountLimits{ratePerSecond: d.Defaults.RatePerSecond, concurrency: d.Defaults.Concurrency, dataCentres: a.DataCentres}
	if a.RatePerSecond > 0 {
		l.ratePerSecond = a.RatePerSecond
	}
	if a.Concurrency > 0 {
		l.concurrency = a.Concurrency
	}
	return l, true
}

package share

import "time"

const (
	// returnPart is the part of the threshold at which an account is back within its share.
	returnPart = 2.0 / 3
	// certainty is by how many standard errors an account must exceed the threshold of its
	// return to count as over its share. Without this, on 9 of 200 days of ten accounts that
	// differ by chance one was over its share, for 5 to 22 s (quiet_test.go).
	certainty = 2.0
	// minWait is how long work of another account must have waited to make an account over
	// its share. New work waits for a moment in an empty pool too.
	minWait = 200 * time.Millisecond
	// maxQuiet is how long an account stays over its share without waiting work of others.
	maxQuiet = halfLife
)

// Class is work that competes for the same room in the same place of the order.
type Class struct {
	Pool     string
	Priority int
}

// Waiting says that an account has waiting work of a class, the longest for a time.
type Waiting struct {
	Account string
	Class   Class
	For     time.Duration
}

// Change says that an account is over its share from now on, or no longer.
type Change struct {
	Account string
	Over    bool
	// Ratio is the usage relative to the share.
	Ratio float64
	// Share is the account's part of all guarantees.
	Share float64
}

// Order is the order of waiting work by account, for one placement pass.
type Order struct {
	accounts *Accounts
	// contested holds the classes in which accounts within their share have waiting work.
	contested map[Class]bool
}

// Decide determines which accounts are over their share, given the work that waits, and
// returns the order that follows and what has changed, in the order of the accounts' names.
// overuse is the multiple of its share above which an account is over it.
func (a *Accounts) Decide(now time.Duration, overuse float64, waiting []Waiting) (Order, []Change) {
	blocked := false
	for _, w := range waiting {
		e := a.byName[w.Account]
		blocked = blocked || w.For >= minWait && (e == nil || !e.over && a.ratio(e) <= overuse)
	}
	var changes []Change
	for _, name := range a.names {
		e := a.byName[name]
		r := a.ratio(e)
		if blocked {
			e.blockingAt = now
		}
		over := r > returnPart*overuse && now-e.blockingAt < maxQuiet && e.over || r > overuse && blocked && a.isCertain(e, overuse)
		if over == e.over {
			continue
		}
		e.over = over
		changes = append(changes, Change{Account: name, Over: over, Ratio: r, Share: e.weight / a.totalWeight})
	}
	return a.order(waiting), changes
}

// isCertain reports whether an account's usage is above the threshold of its return by more
// than a few large jobs explain.
func (a *Accounts) isCertain(e *account, overuse float64) bool {
	return a.ratio(e)-certainty*a.standardError(e) > returnPart*overuse
}

// Quiet reports whether no account is over its share or may be now, whatever waits. Decide
// changes nothing then.
func (a *Accounts) Quiet(overuse float64) bool {
	for _, e := range a.byName {
		if e.over || a.ratio(e) > overuse {
			return false
		}
	}
	return true
}

func (a *Accounts) order(waiting []Waiting) Order {
	o := Order{accounts: a, contested: make(map[Class]bool)}
	for _, w := range waiting {
		if !a.isOver(w.Account) {
			o.contested[w.Class] = true
		}
	}
	return o
}

func (a *Accounts) isOver(name string) bool {
	e := a.byName[name]
	return e != nil && e.over
}

// Overuse returns the place of an account's work among work of its class: 0 for accounts
// within their share, and otherwise the usage relative to the share. It is 0 for all
// accounts of a class in which no account within its share waits.
func (o Order) Overuse(name string, c Class) float64 {
	if !o.contested[c] || !o.accounts.isOver(name) {
		return 0
	}
	return o.accounts.ratio(o.accounts.byName[name])
}

// Over returns how many accounts are over their share.
func (a *Accounts) Over() int {
	n := 0
	for _, e := range a.byName {
		if e.over {
			n++
		}
	}
	return n
}

// State is the state of an account as shown to operators.
type State struct {
	Account string
	// Ratio is the usage relative to the share.
	Ratio float64
	Over  bool
}

// States returns the states of all accounts, in the order of their names.
func (a *Accounts) States() []State {
	var out []State
	for _, name := range a.names {
		e := a.byName[name]
		out = append(out, State{Account: name, Ratio: a.ratio(e), Over: e.over})
	}
	return out
}

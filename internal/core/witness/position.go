package witness

import "cmp"

// Position is a renewal of a term. The renewal of the claim is 0.
type Position struct {
	Term    int64
	Renewal int64
}

// compare orders positions as the store does.
func (p Position) compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Renewal, o.Renewal))
}

// Before reports whether p precedes o.
func (p Position) Before(o Position) bool { return p.compare(o) < 0 }

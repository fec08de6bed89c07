package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectReaders is the number of instances up to which all of a region read the
	// policy from the store.
	maxDirectReaders = 8
	// minRelays is how many instances of a larger region read it. Two may be lost without
	// an effect on the others.
	minRelays = 3
	// instancesPerRelay is how many instances there are for each relay beyond minRelays.
	instancesPerRelay = 16
)

// Member is an instance.
type Member struct {
	// Addr is the address at which other instances reach it.
	Addr string
	// Region is empty if it is not known.
	Region string
	// Capable says that its machine can serve the policy to many others.
	Capable bool
}

// Plan says where an instance gets the policy from.
type Plan struct {
	// Direct says that it reads the policy from the store.
	Direct bool
	// Relay says that others may ask it; it then reads from the store.
	Relay bool
	// Relays are the addresses to ask instead of the store, in the order of preference,
	// which differs between instances.
	Relays []string
}

// Choose returns the plan of self, given the other members. A list of others with an entry
// of self or with repeated entries is allowed.
func Choose(self Member, others []Member) Plan {
	direct := Plan{Direct: true}
	if self.Region == "" {
		return direct
	}
	region := inRegion(self, others)
	if len(region) <= maxDirectReaders {
		return direct
	}
	relays := choose(region)
	switch {
	case len(relays) == 0:
		return direct
	case slices.Contains(relays, self.Addr):
		return Plan{Direct: true, Relay: true}
	}
	return Plan{Relays: byHash(relays, self.Addr)}
}

// inRegion returns self and the other members of its region, each once, sorted by address.
func inRegion(self Member, others []Member) []Member {
	out := []Member{self}
	for _, m := range others {
		if m.Region == self.Region && m.Addr != self.Addr {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return slices.CompactFunc(out, func(a, b Member) bool { return a.Addr == b.Addr })
}

// choose returns the addresses of a region's relays. The choice depends on each member's
// address alone, so that a change of the members changes few of the relays.
func choose(region []Member) []string {
	var capable []string
	for _, m := range region {
		if m.Capable {
			capable = append(capable, m.Addr)
		}
	}
	n := max(minRelays, (len(region)+instancesPerRelay-1)/instancesPerRelay)
	return byHash(capable, "")[:min(n, len(capable))]
}

// byHash sorts addresses by a hash that depends on salt too.
func byHash(addrs []string, salt string) []string {
	return slices.SortedFunc(slices.Values(addrs), func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(salt+a), xxhash.Sum64String(salt+b)), cmp.Compare(a, b))
	})
}

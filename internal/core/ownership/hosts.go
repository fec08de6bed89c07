package ownership

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// hosts is what is known of the other schedulers. It may be wrong in every way;
// only liveness depends on it.
type hosts struct {
	// listed is the platform's list of schedulers; known says that one was seen.
	listed map[model.HostID]model.Host
	known  bool
	// started holds each host's latest announced start, in log order.
	started map[model.HostID]model.Member
}

func newHosts() hosts {
	return hosts{
		listed:  make(map[model.HostID]model.Host),
		started: make(map[model.HostID]model.Member),
	}
}

func (h *hosts) seen(list []model.Host) {
	h.known = true
	clear(h.listed)
	for _, x := range list {
		if x.Role == model.RoleScheduler {
			h.listed[x.ID] = x
		}
	}
}

// live reports whether a host should be given anything new.
func (h *hosts) live(id model.HostID) bool {
	if !h.known {
		_, ok := h.started[id]
		return ok
	}
	return h.listed[id].State == model.HostLive
}

// present reports whether a member of a line may still act.
func (h *hosts) present(m model.Member) bool {
	if now, ok := h.started[m.Host]; ok && now.Boot != m.Boot {
		return false
	}
	return h.live(m.Host)
}

// candidate is a host that might own a scope.
type candidate struct {
	member model.Member
	near   int
	weight uint64
}

// order gives the hosts that should own a target, the best first, with self
// among them: those in its data centre, then those of self's region, then by
// rendezvous weight.
func (c *Core) order(t Target) []model.Member {
	var cs []candidate
	add := func(m model.Member, dc model.DataCentre) {
		near := 1
		if dc == t.Near && t.Near != "" {
			near = 0
		}
		cs = append(cs, candidate{m, near, mapping.Weight(t.Scope, string(m.Host))})
	}
	add(c.set.Self, c.set.DataCentre)
	for id, m := range c.hosts.started {
		if id != c.set.Self.Host && c.hosts.live(id) {
			add(m, c.hosts.listed[id].DataCentre)
		}
	}
	for id, x := range c.hosts.listed {
		_, started := c.hosts.started[id]
		if id != c.set.Self.Host && !started && x.State == model.HostLive {
			add(model.Member{Host: id, Addr: x.Addr}, x.DataCentre)
		}
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.near, b.near),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.member.Host, b.member.Host),
		)
	})
	out := make([]model.Member, 0, len(cs))
	for _, x := range cs {
		out = append(out, x.member)
	}
	return out
}

// line gives a claim's line: self, then announced successors in order.
func (c *Core) line(t Target) []model.Member {
	out := []model.Member{c.set.Self}
	for _, m := range c.order(t) {
		if len(out) == c.set.LineLength {
			break
		}
		if m.Host == c.set.Self.Host {
			continue
		}
		if _, ok := c.hosts.started[m.Host]; ok {
			out = append(out, m)
		}
	}
	return out
}

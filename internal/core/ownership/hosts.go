package ownership

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// listGrace is how long after its announced start a host counts as live although
// the host list does not show it.
const listGrace = 10 * time.Second

// hosts is what is known of the other schedulers. It may be wrong in every way;
// only liveness depends on it.
type hosts struct {
	// listed is the platform's list of schedulers; known says that one was seen.
	listed map[model.HostID]model.Host
	known  bool
	// started holds each host's latest announced start, in log order.
	started map[model.HostID]model.Member
	// startedAt is when the log took that announcement.
	startedAt map[model.HostID]time.Time
}

func newHosts() hosts {
	return hosts{
		listed:  make(map[model.HostID]model.Host),
		started: make(map[model.HostID]model.Member),

		startedAt: make(map[model.HostID]time.Time),
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

// live reports whether a host should be given anything new. The list lags, so a
// host that announced its start a moment ago counts before the list shows it.
func (h *hosts) live(now time.Time, id model.HostID) bool {
	x, listed := h.listed[id]
	if listed {
		return x.State == model.HostLive
	}
	_, started := h.started[id]
	return started && (!h.known || now.Sub(h.startedAt[id]) < listGrace)
}

// present reports whether a member of a line may still act.
func (h *hosts) present(now time.Time, m model.Member) bool {
	if last, ok := h.started[m.Host]; ok && last.Boot != m.Boot {
		return false
	}
	return h.live(now, m.Host)
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
func (c *Core) order(now time.Time, t Target) []model.Member {
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
		if id != c.set.Self.Host && c.hosts.live(now, id) {
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

// line gives a claim's line: self, then announced successors. All scopes of an
// owner share a few successors, so that heartbeats do not grow with its scopes;
// which of them comes first differs by scope, so that they share the load when
// the owner dies.
func (c *Core) line(now time.Time, t Target) []model.Member {
	var heirs []model.Member
	for _, m := range c.order(now, t) {
		if _, ok := c.hosts.started[m.Host]; ok && m.Host != c.set.Self.Host {
			heirs = append(heirs, m)
		}
	}
	chosen := slices.Clone(heirs)
	slices.SortFunc(chosen, func(a, b model.Member) int {
		return cmp.Or(
			cmp.Compare(c.distance(t, a), c.distance(t, b)),
			cmp.Compare(c.kinship(b), c.kinship(a)),
			cmp.Compare(a.Host, b.Host),
		)
	})
	chosen = chosen[:min(len(chosen), c.set.LineLength-1)]
	heirs = slices.DeleteFunc(heirs, func(m model.Member) bool { return !slices.Contains(chosen, m) })
	return append([]model.Member{c.set.Self}, heirs...)
}

// distance is 0 for a host in the data centre that a target should be owned from.
func (c *Core) distance(t Target, m model.Member) int {
	if t.Near != "" && c.hosts.listed[m.Host].DataCentre == t.Near {
		return 0
	}
	return 1
}

// kinship is the weight of a host as a successor of this one.
func (c *Core) kinship(m model.Member) uint64 {
	self := model.Scope{Kind: model.ScopeHost, Name: string(c.set.Self.Host)}
	return mapping.Weight(self, string(m.Host))
}

package route

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/model"
)

// schedulersByDistance returns the addresses of the schedulers: live hosts before
// leaving ones, and among each the own host, the own data centre, the own region
// and the rest. Hosts at the same distance come in an order that differs between
// entry hosts, which spreads the load.
func schedulersByDistance(o *Options, hosts []model.Host) []string {
	var schedulers []model.Host
	for _, h := range hosts {
		if h.Role == model.RoleScheduler && h.Addr != "" {
			schedulers = append(schedulers, h)
		}
	}
	slices.SortFunc(schedulers, func(a, b model.Host) int {
		return cmp.Or(
			cmp.Compare(distance(o, &a), distance(o, &b)),
			cmp.Compare(tieBreak(o.Self, a.ID), tieBreak(o.Self, b.ID)),
			cmp.Compare(a.ID, b.ID),
			cmp.Compare(a.Addr, b.Addr),
		)
	})
	out := make([]string, 0, len(schedulers))
	for _, h := range schedulers {
		if !slices.Contains(out, h.Addr) {
			out = append(out, h.Addr)
		}
	}
	return out
}

// leavingDistance is added to the distance of a leaving host. It exceeds the
// distance of every live host.
const leavingDistance = 4

// distance returns a rank from 0 for the own host to 3 for another region, plus
// leavingDistance if the host is leaving.
func distance(o *Options, h *model.Host) int {
	d := 3
	switch {
	case h.ID == o.Self:
		d = 0
	case h.DataCentre == o.DataCentre:
		d = 1
	case h.Region == o.Region:
		d = 2
	}
	if h.State == model.HostLeaving {
		d += leavingDistance
	}
	return d
}

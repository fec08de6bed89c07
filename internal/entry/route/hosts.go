package route

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/model"
)

// nearest gives the addresses of the schedulers, live ones before leaving ones,
// and among them own host, own data centre, own region and the rest. Hosts that
// are as near come in an order that differs from one entry host to the next.
func nearest(o *Options, hosts []model.Host) []string {
	var scheds []model.Host
	for _, h := range hosts {
		if h.Role == model.RoleScheduler && h.Addr != "" {
			scheds = append(scheds, h)
		}
	}
	slices.SortFunc(scheds, func(a, b model.Host) int {
		return cmp.Or(
			cmp.Compare(distance(o, &a), distance(o, &b)),
			cmp.Compare(spread(o.Self, a.ID), spread(o.Self, b.ID)),
			cmp.Compare(a.ID, b.ID),
			cmp.Compare(a.Addr, b.Addr),
		)
	})
	out := make([]string, 0, len(scheds))
	for _, h := range scheds {
		if !slices.Contains(out, h.Addr) {
			out = append(out, h.Addr)
		}
	}
	return out
}

// leavingDistance puts every leaving host behind every live one.
const leavingDistance = 4

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

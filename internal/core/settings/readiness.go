package settings

import (
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// readiness gathers what confirms that the version in force is the newest.
type readiness struct {
	// caughtUp says that the log's head was reached.
	caughtUp bool
	// confirmedOnce keeps a host ready when peers go away later.
	confirmedOnce bool
	live          []model.HostID
	versions      map[model.HostID]config.Version
}

func (r *readiness) heard(h model.HostID, v config.Version) {
	if r.versions == nil {
		r.versions = make(map[model.HostID]config.Version)
	}
	r.versions[h] = v
}

// listed replaces the live hosts and forgets what others said.
func (r *readiness) listed(hosts []model.HostID) {
	r.live = slices.Clone(hosts)
	for h := range r.versions {
		if !slices.Contains(hosts, h) {
			delete(r.versions, h)
		}
	}
}

// confirmed reports whether the log's head was reached, or a majority of the
// live hosts, this one included, has a version in force and none a newer one.
func (r *readiness) confirmed(v config.Version) bool {
	if r.caughtUp || r.confirmedOnce {
		return true
	}
	agree := 1
	for _, h := range r.live {
		other := r.versions[h]
		if other > v {
			return false
		}
		if other > 0 {
			agree++
		}
	}
	r.confirmedOnce = len(r.live) > 0 && 2*agree > len(r.live)+1
	return r.confirmedOnce
}

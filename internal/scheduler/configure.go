package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// configure brings a configuration into force in every core.
func (l *loop) configure(c *config.Versioned) {
	if l.conf != nil && c.Version <= l.conf.Version {
		return
	}
	l.conf = c
	l.maps = l.maps.For(c.Document.Fleet)
	l.s.dial.configure(&c.Document)
	l.stepPlace(placement.Configured{Config: c})
	l.stepLedger(ledger.Configured{Config: c})
	l.targets = dated(targets(c, l.maps), l.targets, now())
	l.stepOwn(ownership.Configured{Targets: l.targets})
	evConfigured.Log(l.ctx, l.s.o.Logger, slog.Uint64("version", uint64(c.Version)))
}

// dated notes at which targets the workers differ from those before: older keys
// may have run on workers that are no longer listed.
func dated(next, before []ownership.Target, at time.Time) []ownership.Target {
	old := make(map[model.Scope]ownership.Target, len(before))
	for _, t := range before {
		old[t.Scope] = t
	}
	for i := range next {
		o, known := old[next[i].Scope]
		switch {
		case !known:
		case slices.Equal(o.Workers, next[i].Workers):
			next[i].Since = o.Since
		default:
			next[i].Since = at
		}
	}
	return next
}

// targets lists the scopes of a configuration: its cells, then its key groups.
func targets(c *config.Versioned, m *mapping.Mapping) []ownership.Target {
	var out []ownership.Target
	for _, cell := range c.Document.Fleet.Cells {
		out = append(out, ownership.Target{
			Scope:   model.CellScope(cell.ID),
			Workers: cell.Workers,
			Near:    cell.DataCentre,
		})
	}
	for g := range m.Groups() {
		out = append(out, groupTarget(m, model.GroupID(g)))
	}
	return out
}

func groupTarget(m *mapping.Mapping, g model.GroupID) ownership.Target {
	t := ownership.Target{Scope: model.GroupScope(g)}
	for i, c := range m.Cells(g) {
		if i == 0 {
			t.Near = c.DataCentre
		}
		t.Workers = append(t.Workers, c.Workers...)
	}
	for _, w := range m.Witnesses(g) {
		t.Witnesses = append(t.Witnesses, w.ID)
	}
	return t
}

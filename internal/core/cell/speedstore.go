package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/speed"
	"coltsfootmux/internal/external"
)

const (
	// speedStoreInterval is the least time between two rosters that are written because of
	// factors, speedStoreChange the change of a factor that requires one.
	speedStoreInterval = 10 * time.Second
	speedStoreChange   = 0.2
)

// storeSpeeds has the roster written if a factor in use differs from the stored one. While
// a pool's factors are not used, its stored ones are those of the last roster that was
// written for another reason.
func (c *Core) storeSpeeds() {
	now := c.now.Mono
	if now < c.speeds.nextStore {
		return
	}
	changed := slices.ContainsFunc(c.fleet, func(w *worker) bool {
		if !c.speedPool(w.Pool).Open {
			return false
		}
		have, stored := float64(c.speedOf(w).Percent(now)), float64(c.speeds.stored[w.speedKey()])
		if have == 0 {
			return false
		}
		if stored == 0 {
			stored = 100
		}
		return have > stored*(1+speedStoreChange) || have < stored*(1-speedStoreChange)
	})
	if changed {
		c.rosterDirty = true
		c.speeds.nextStore = now + speedStoreInterval
	}
}

// storedSpeed returns the fields of a worker's entry on the roster that hold its speed.
func (c *Core) storedSpeed(w *worker) (machine string, percent int) {
	if !c.learnsSpeeds() {
		return "", 0
	}
	if c.speeds.stored == nil {
		c.speeds.stored = make(map[string]int)
	}
	percent = c.speedOf(w).Percent(c.now.Mono)
	c.speeds.stored[w.speedKey()] = percent
	return w.Machine, percent
}

// inheritSpeed takes over a factor that the previous owner stored.
func (c *Core) inheritSpeed(r RosterEntry) {
	if !c.learnsSpeeds() || r.SpeedPercent == 0 {
		return
	}
	w := &worker{Worker: external.Worker{ID: r.ID, Machine: r.Machine}}
	*c.speedOf(w) = *speed.Stored(r.SpeedPercent, c.now.Mono)
	if c.speeds.stored == nil {
		c.speeds.stored = make(map[string]int)
	}
	c.speeds.stored[w.speedKey()] = r.SpeedPercent
}

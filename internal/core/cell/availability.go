package cell

// mayInterrupt says whether the product's own order may end the unit's runs: of a
// long-running step with a bound on missing tasks only so many may be away.
func (u *unit) mayInterrupt() bool {
	s := u.group.step
	if !s.LongRunning || s.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, o := range u.group.units {
		if o != u && !o.fullyRunning() {
			unavailable++
		}
	}
	return unavailable < s.MaxUnavailable
}

// fullyRunning says whether every task of the unit runs at full work.
func (u *unit) fullyRunning() bool {
	if u.state != unitActive || len(u.runs) < u.size {
		return false
	}
	for _, r := range u.runs {
		if r.state != runRunning || r.percent < 100 {
			return false
		}
	}
	return true
}

package cell

// mayInterrupt reports whether the cell may stop the unit's runs by its own choice.
// A long-running step may bound how many of its tasks are unavailable at a time.
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

// fullyRunning reports whether every task of the unit is running at 100 percent.
func (u *unit) fullyRunning() bool {
	if u.state != unitActive || len(u.runs) < u.size {
		return false
	}
	for _, r := range u.runs {
		if r.state != runRunning || r.absentSince != 0 || r.percent < 100 {
			return false
		}
	}
	return true
}

package cell

import "time"

// A worker that restarts under its ID carries out calls that were meant for its earlier incarnation. Such a
// call names the end of a lease on the clock of that one. The clock that began anew is far behind it, so that
// the worker grants its longest lease, which may be longer than the owner's.

// misdirectedLeaseEnd returns when a lease has certainly expired that a worker was granted by a call to its
// earlier incarnation, if it has restarted by a time.
func (c *Core) misdirectedLeaseEnd(restarted time.Duration) time.Duration {
	longest := max(c.settings.Lease, c.settings.MaxLease)
	return restarted + lateCallTime + time.Duration(float64(longest)*clockSlack) + leaseMargin
}

// earlierLeasesEnd returns when the leases that earlier owners granted on a worker have certainly expired.
func (c *Core) earlierLeasesEnd(w *worker) time.Duration {
	if w.StartedMS == 0 || w.StartedMS == w.firstStartedMS {
		return c.previousLeasesEnd
	}
	age := time.Duration(max(0, c.now.UnixMS-w.StartedMS)) * time.Millisecond
	return max(c.previousLeasesEnd, c.misdirectedLeaseEnd(min(c.now.Mono-age, c.startedAt)))
}

// earlierLeasesOver reports whether no lease that earlier owners granted is left on any worker.
func (c *Core) earlierLeasesOver() bool {
	return c.now.Mono >= max(c.previousLeasesEnd, c.misdirectedLeaseEnd(c.startedAt))
}

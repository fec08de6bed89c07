package settings

import "time"

// due tells when the stream needs a new snapshot.
type due struct {
	// last is when the newest snapshot, or else the first record, was written.
	last time.Time
	// records counts those accepted since, and full is when they became too many.
	records int
	full    time.Time
	// asked is when this host last asked to save one.
	asked time.Time
}

func (d *due) recorded(at time.Time) {
	if d.last.IsZero() {
		d.last = at
	}
	d.records++
}

func (d *due) saved(at time.Time) {
	*d = due{last: at}
}

// at reports whether a host of a rank should write a snapshot now.
func (d *due) at(now time.Time, o *Options, rank int) bool {
	if d.last.IsZero() {
		d.last = now
	}
	if d.records >= o.SnapshotRecords && d.full.IsZero() {
		d.full = now
	}
	wait := time.Duration(rank) * o.Stagger
	old := now.Sub(d.last) >= o.SnapshotEvery+wait
	many := !d.full.IsZero() && now.Sub(d.full) >= wait
	return (old || many) && (d.asked.IsZero() || now.Sub(d.asked) >= o.Stagger)
}

// tick asks for a snapshot when one is due and the state is beyond doubt.
func (c *Core) tick(now time.Time, rank int) []Action {
	if c.version == 0 || !c.CaughtUp() || !c.readiness.caughtUp {
		return nil
	}
	if !c.snapshots.at(now, &c.opts, rank) {
		return nil
	}
	c.snapshots.asked = now
	return []Action{Save{c.Snapshot()}}
}

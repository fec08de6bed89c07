package settings

import "time"

// Options are a core's settings. Zero fields take the defaults.
type Options struct {
	// SnapshotEvery is the age at which the newest snapshot is replaced. It must
	// be well below the time that the log service keeps records.
	SnapshotEvery time.Duration
	// SnapshotRecords is the number of records after which a new snapshot is due.
	SnapshotRecords int
	// Stagger is the head start that each host has over the next in taking a snapshot.
	Stagger time.Duration
	// History is how many accepted records are kept to bring other hosts up to date.
	History int
}

// The defaults.
const (
	DefaultSnapshotEvery   = 15 * time.Minute
	DefaultSnapshotRecords = 1000
	DefaultStagger         = 20 * time.Second
	DefaultHistory         = 128
)

func (o Options) withDefaults() Options {
	if o.SnapshotEvery <= 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.SnapshotRecords <= 0 {
		o.SnapshotRecords = DefaultSnapshotRecords
	}
	if o.Stagger <= 0 {
		o.Stagger = DefaultStagger
	}
	if o.History <= 0 {
		o.History = DefaultHistory
	}
	return o
}

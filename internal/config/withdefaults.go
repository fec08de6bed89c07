package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// The default values of omitted fields.
const (
	DefaultLongestWait      = Duration(10 * time.Minute)
	DefaultLargeWait        = Duration(2 * time.Minute)
	DefaultUrgentWait       = Duration(5 * time.Second)
	DefaultReclaimWithin    = Duration(4 * time.Second)
	DefaultCheckpointWithin = Duration(2 * time.Second)
	DefaultLeaseTTL         = Duration(10 * time.Second)
	DefaultKeyRetention     = Duration(time.Hour)
	DefaultCallerSkew       = Duration(30 * time.Second)
	DefaultQueueBound       = 1000
	DefaultRatePerSecond    = 200
	DefaultConcurrency      = 500
	DefaultRetryShare       = 0.1
	DefaultMaxAttempts      = 3
	DefaultBodyLimitBytes   = 1 << 20
	DefaultWeight           = 1
	DefaultReferenceSize    = 8
	// DefaultCrossRegionBytesPerSecond lets 15 hosts share a 30 Mbit/s link.
	DefaultCrossRegionBytesPerSecond = 250_000

	DefaultKeyGroups     = 64
	DefaultCellsPerGroup = 4
	DefaultWitnesses     = 5
	DefaultShare         = 1
)

// WithDefaults returns a copy in which omitted fields hold their default. A zero
// counts as omitted. Limits of accounts stay zero, which means that the
// document's Defaults apply.
func (d *Document) WithDefaults() *Document {
	out := *d
	out.Fleet = d.Fleet.withDefaults()
	out.Defaults = d.Defaults.withDefaults()
	out.Accounts = make([]Account, len(d.Accounts))
	for i, a := range d.Accounts {
		setDefault(&a.Share, DefaultShare)
		out.Accounts[i] = a
	}
	return &out
}

func (f Fleet) withDefaults() Fleet {
	setDefault(&f.KeyGroups, DefaultKeyGroups)
	setDefault(&f.CellsPerGroup, DefaultCellsPerGroup)
	setDefault(&f.Witnesses, witnessesFor(&f))
	return f
}

// witnessesFor returns the largest odd number, up to DefaultWitnesses, of workers that
// the fleet has; at least 1.
func witnessesFor(f *Fleet) int {
	total := 0
	for _, c := range f.Cells {
		total += len(c.Workers)
	}
	n := min(DefaultWitnesses, total)
	if n%2 == 0 {
		n--
	}
	return max(n, 1)
}

func (d Defaults) withDefaults() Defaults {
	setDefault(&d.LongestWait, DefaultLongestWait)
	setDefault(&d.LargeWait, DefaultLargeWait)
	setDefault(&d.UrgentWait, DefaultUrgentWait)
	setDefault(&d.ReclaimWithin, DefaultReclaimWithin)
	setDefault(&d.CheckpointWithin, DefaultCheckpointWithin)
	setDefault(&d.LeaseTTL, DefaultLeaseTTL)
	setDefault(&d.KeyRetention, DefaultKeyRetention)
	setDefault(&d.CallerSkew, DefaultCallerSkew)
	setDefault(&d.QueueBound, DefaultQueueBound)
	setDefault(&d.RatePerSecond, DefaultRatePerSecond)
	setDefault(&d.Concurrency, DefaultConcurrency)
	setDefault(&d.RetryShare, DefaultRetryShare)
	setDefault(&d.MaxAttempts, DefaultMaxAttempts)
	setDefault(&d.BodyLimitBytes, DefaultBodyLimitBytes)
	setDefault(&d.Weights, Weights{Completion: DefaultWeight, Fragmentation: DefaultWeight})
	setDefault(&d.Reference, model.Shape{Slots: DefaultReferenceSize, Accelerators: DefaultReferenceSize})
	setDefault(&d.CrossRegionBytesPerSecond, DefaultCrossRegionBytesPerSecond)
	return d
}

// setDefault sets a field to value if the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// The values of omitted fields.
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
	// DefaultCrossRegionBytesPerSecond lets 15 hosts share a link of 30 Mbit/s.
	DefaultCrossRegionBytesPerSecond = 250_000

	DefaultKeyGroups     = 64
	DefaultCellsPerGroup = 4
	DefaultWitnesses     = 5
	DefaultShare         = 1
)

// WithDefaults gives a copy in which omitted fields hold their default. A zero
// counts as omitted. Limits of accounts stay zero, which stands for the
// document's own defaults.
func (d *Document) WithDefaults() *Document {
	out := *d
	out.Fleet = d.Fleet.withDefaults()
	out.Defaults = d.Defaults.withDefaults()
	out.Accounts = make([]Account, len(d.Accounts))
	for i, a := range d.Accounts {
		setZero(&a.Share, DefaultShare)
		out.Accounts[i] = a
	}
	return &out
}

func (f Fleet) withDefaults() Fleet {
	setZero(&f.KeyGroups, DefaultKeyGroups)
	setZero(&f.CellsPerGroup, DefaultCellsPerGroup)
	setZero(&f.Witnesses, witnessesFor(&f))
	return f
}

// witnessesFor gives the largest odd number up to DefaultWitnesses that the fleet has workers for.
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
	setZero(&d.LongestWait, DefaultLongestWait)
	setZero(&d.LargeWait, DefaultLargeWait)
	setZero(&d.UrgentWait, DefaultUrgentWait)
	setZero(&d.ReclaimWithin, DefaultReclaimWithin)
	setZero(&d.CheckpointWithin, DefaultCheckpointWithin)
	setZero(&d.LeaseTTL, DefaultLeaseTTL)
	setZero(&d.KeyRetention, DefaultKeyRetention)
	setZero(&d.CallerSkew, DefaultCallerSkew)
	setZero(&d.QueueBound, DefaultQueueBound)
	setZero(&d.RatePerSecond, DefaultRatePerSecond)
	setZero(&d.Concurrency, DefaultConcurrency)
	setZero(&d.RetryShare, DefaultRetryShare)
	setZero(&d.MaxAttempts, DefaultMaxAttempts)
	setZero(&d.BodyLimitBytes, DefaultBodyLimitBytes)
	setZero(&d.Weights, Weights{Completion: DefaultWeight, Fragmentation: DefaultWeight})
	setZero(&d.Reference, model.Shape{Slots: DefaultReferenceSize, Accelerators: DefaultReferenceSize})
	setZero(&d.CrossRegionBytesPerSecond, DefaultCrossRegionBytesPerSecond)
	return d
}

// setZero sets a field that holds its zero value.
func setZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

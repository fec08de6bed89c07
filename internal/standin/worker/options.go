package worker

import (
	"time"

	"coltsfootmux/internal/model"
)

const (
	defaultUsageLag   = 2 * time.Second
	defaultHistoryFor = 10 * time.Minute
	defaultBarFor     = time.Hour
	defaultCheckpoint = 500 * time.Millisecond
	defaultMaxLeases  = 4096
	defaultMaxBars    = 200_000
	defaultMaxEnded   = 4096
	// maxEndedBytes bounds the answers that the history keeps, so that a listing
	// of all of them fits into one response.
	maxEndedBytes = 8 << 20
	// maxScopes bounds the scopes whose epochs are kept.
	maxScopes = 65_536
	// maxTTL bounds leases and holds, so that bars outlive them.
	maxTTL = 30 * time.Minute
)

// Options are the settings of a stand-in worker.
type Options struct {
	ID model.WorkerID
	// Region is told in answers, so that callers can count what crosses.
	Region   model.Region
	Capacity model.Shape
	// Clock gives the time; default time.Now.
	Clock func() time.Time
	// Runner plans tasks; default SpecRunner.
	Runner Runner
	// UsageLag is how late usage is reported. Default 2 s.
	UsageLag time.Duration
	// CheckpointTime is how long a checkpoint takes. Default 500 ms.
	CheckpointTime time.Duration
	// HistoryRetention is how long endings are kept. Default 10 min.
	HistoryRetention time.Duration
	// BarRetention is how long a lease id that was released, lapsed or ended stays
	// barred. It must exceed every lease's time to live. Default 1 h.
	BarRetention time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Runner == nil {
		o.Runner = SpecRunner{}
	}
	o.UsageLag = orDefault(o.UsageLag, defaultUsageLag)
	o.CheckpointTime = orDefault(o.CheckpointTime, defaultCheckpoint)
	o.HistoryRetention = orDefault(o.HistoryRetention, defaultHistoryFor)
	o.BarRetention = orDefault(o.BarRetention, defaultBarFor)
	return o
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

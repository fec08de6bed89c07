package worker

import (
	"time"

	"coltsfootmux/internal/model"
)

const (
	defaultUsageLag         = 2 * time.Second
	defaultHistoryRetention = 10 * time.Minute
	defaultBarRetention     = time.Hour
	defaultCheckpointTime   = 500 * time.Millisecond
	maxLeases               = 4096
	maxBarredLeases         = 200_000
	maxEnded                = 4096
	// maxEndedBytes limits the answers that the history holds, so that a listing of
	// all of them fits into one response.
	maxEndedBytes = 8 << 20
	// maxScopes limits the scopes whose epochs are kept.
	maxScopes = 65_536
	// maxTTL limits leases and holds, so that bars outlive them.
	maxTTL = 30 * time.Minute
)

// Options are the settings of a stand-in worker.
type Options struct {
	ID model.WorkerID
	// Region is sent in every response, so that callers can count traffic between regions.
	Region   model.Region
	Capacity model.Shape
	// Clock returns the time. The default is time.Now.
	Clock func() time.Time
	// Runner plans tasks. The default is SpecRunner.
	Runner Runner
	// UsageLag is the delay until a task's usage is reported. The default is 2 s.
	UsageLag time.Duration
	// CheckpointTime is how long a checkpoint takes. The default is 500 ms.
	CheckpointTime time.Duration
	// HistoryRetention is how long endings are kept. The default is 10 min.
	HistoryRetention time.Duration
	// BarRetention is how long the id of a lease that was released, expired or ended
	// stays barred. It must exceed every lease's time to live. The default is 1 h.
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
	o.CheckpointTime = orDefault(o.CheckpointTime, defaultCheckpointTime)
	o.HistoryRetention = orDefault(o.HistoryRetention, defaultHistoryRetention)
	o.BarRetention = orDefault(o.BarRetention, defaultBarRetention)
	return o
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

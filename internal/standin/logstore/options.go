package logstore

import (
	"time"

	"coltsfootmux/internal/model"
)

const (
	defaultRetention = time.Hour
	defaultRate      = 300
)

// Options are the settings of a stand-in log service.
type Options struct {
	// Clock gives the time; default time.Now.
	Clock func() time.Time
	// Region is told in answers, so that callers can count what crosses.
	Region model.Region
	// Retention is how long records are kept. Default 1 h.
	Retention time.Duration
	// AppendsPerSecond is the cap on appends of all callers together; each may
	// hold several records. Default 300.
	AppendsPerSecond int
	// AppendLatency is how long an append takes for callers of a region, beyond the
	// network's own. Regions that are not named get 0.
	AppendLatency map[model.Region]time.Duration
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.AppendsPerSecond <= 0 {
		o.AppendsPerSecond = defaultRate
	}
	return o
}

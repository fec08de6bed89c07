package logstore

import (
	"time"

	"coltsfootmux/internal/model"
)

const (
	defaultRetention        = time.Hour
	defaultAppendsPerSecond = 300
)

// Options are the settings of a stand-in log service.
type Options struct {
	// Clock returns the time. The default is time.Now.
	Clock func() time.Time
	// Region is sent in every response, so that callers can count traffic between regions.
	Region model.Region
	// Retention is how long records are kept. The default is 1 h.
	Retention time.Duration
	// AppendsPerSecond limits the append rate of all callers together. One append may
	// contain several records. The default is 300.
	AppendsPerSecond int
	// AppendLatency is the time of an append for callers in a region, in addition to
	// that of the network. It is 0 for regions that are missing.
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
		o.AppendsPerSecond = defaultAppendsPerSecond
	}
	return o
}

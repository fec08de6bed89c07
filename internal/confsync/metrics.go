package confsync

import (
	"sync/atomic"

	"coltsfootmux/internal/metric"
)

// highest is the highest version of all stores in this process.
var highest atomic.Uint64

var (
	mCalls = metric.NewCounterVec("coltsfootmux_confsync_calls_total", "calls", "kind",
		"Calls to other hosts about configuration: push (a version handed on) or ask (a version asked for).")
	mInstalls = metric.NewCounter("coltsfootmux_confsync_installs_total", "versions",
		"Configuration versions brought into force.")
	_ = metric.NewGauge("coltsfootmux_confsync_version", "version",
		"Highest configuration version in force.", func() float64 { return float64(highest.Load()) })
)

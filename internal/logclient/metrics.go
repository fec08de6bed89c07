package logclient

import "coltsfootmux/internal/metric"

var (
	mAppends = metric.NewCounterVec("coltsfootmux_logclient_appends_total", "appends", "result",
		"appends sent to the log service, by result: ok, nothing, throttled, unclear, refused")
	mRecords = metric.NewCounter("coltsfootmux_logclient_records_total", "records",
		"records that the log service took")
	mAppendSeconds = metric.NewHistogram("coltsfootmux_logclient_append_seconds", "seconds",
		"time from sending an append to its answer")
	mReads = metric.NewCounterVec("coltsfootmux_logclient_reads_total", "reads", "result",
		"reads sent to the log service, by result: ok, failed, expired")
	mRepeats = metric.NewCounter("coltsfootmux_logclient_repeats_total", "records",
		"records read again and dropped by their id")
	mDropped = metric.NewCounter("coltsfootmux_logclient_queue_full_total", "records",
		"records not taken because too many wait")
)

package scheduler

import "coltsfootmux/internal/metric"

var (
	mRequests = metric.NewCounter("coltsfootmux_scheduler_requests_total", "requests", "requests taken from entry hosts")
	mStarts   = metric.NewCounter("coltsfootmux_scheduler_starts_total", "tasks", "task starts sent to workers")
	mOutcomes = metric.NewCounterVec("coltsfootmux_scheduler_outcomes_total", "requests", "outcome", "answers given, by outcome")
	mAlarms   = metric.NewCounterVec("coltsfootmux_scheduler_alarms_total", "alarms", "code", "alarms raised, by code")
	mGains    = metric.NewCounterVec("coltsfootmux_scheduler_gains_total", "scopes", "kind", "scopes gained, by kind of scope")
	mStep     = metric.NewHistogram("coltsfootmux_scheduler_step_seconds", "seconds", "time that the loop spends on one message")
)

package scheduler

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evStarted      = logevent.New(2000, slog.LevelInfo, "scheduler started")
	evStopped      = logevent.New(2001, slog.LevelInfo, "scheduler stopped")
	evConfigured   = logevent.New(2002, slog.LevelInfo, "configuration in force")
	evDraining     = logevent.New(2003, slog.LevelInfo, "draining: scopes are handed over")
	evGained       = logevent.New(2010, slog.LevelInfo, "scope gained")
	evLost         = logevent.New(2011, slog.LevelInfo, "scope lost")
	evSuspended    = logevent.New(2012, slog.LevelWarn, "holds lapsed: keyed starts suspended")
	evClaimFailed  = logevent.New(2013, slog.LevelWarn, "claim not appended")
	evWorkerJoined = logevent.New(2014, slog.LevelInfo, "worker of an owned scope fenced late")
	evHistoryGap   = logevent.New(2015, slog.LevelWarn, "history of a key group not read from the log")
	evBeginFailed  = logevent.New(2020, slog.LevelDebug, "start failed; nothing ran")
	evBeginUnclear = logevent.New(2021, slog.LevelWarn, "start unclear; its workers are asked")
	evControl      = logevent.New(2022, slog.LevelDebug, "task controlled")
	evControlFail  = logevent.New(2023, slog.LevelWarn, "task not controlled")
	evRenewFailed  = logevent.New(2024, slog.LevelDebug, "leases not renewed")
	evAlarm        = logevent.New(2030, slog.LevelWarn, "alarm")
	evRecordFailed = logevent.New(2031, slog.LevelWarn, "outcome not queued for the log")
	evHostsFailed  = logevent.New(2032, slog.LevelDebug, "host list not read")
	evBadRecord    = logevent.New(2033, slog.LevelWarn, "record on the log not understood")
)

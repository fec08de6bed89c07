package audit

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evBadEntry = logevent.New(3200, slog.LevelWarn, "audit entry can't be read")
	evWaiting  = logevent.New(3201, slog.LevelWarn, "many audit entries wait for the log")
	evWritten  = logevent.New(3202, slog.LevelInfo, "all audit entries are on the log")
)

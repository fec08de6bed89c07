package admin

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evChange   = logevent.New(3000, slog.LevelInfo, "configuration change requested")
	evUnasked  = logevent.New(3001, slog.LevelWarn, "scheduler did not answer a query")
	evNoAudit  = logevent.New(3002, slog.LevelError, "audit entry could not be added")
	evBadWrite = logevent.New(3003, slog.LevelDebug, "response could not be written")
)

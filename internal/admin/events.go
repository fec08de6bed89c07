package admin

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evChangeRequested = logevent.New(3000, slog.LevelInfo, "configuration change requested")
	evQueryFailed     = logevent.New(3001, slog.LevelWarn, "scheduler did not answer a query")
	evAuditFailed     = logevent.New(3002, slog.LevelError, "audit entry could not be added")
	evWriteFailed     = logevent.New(3003, slog.LevelDebug, "response could not be written")
)

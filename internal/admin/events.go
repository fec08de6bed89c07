package admin

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evChange   = logevent.New(3000, slog.LevelInfo, "configuration change asked for")
	evUnasked  = logevent.New(3001, slog.LevelWarn, "scheduler did not answer an overview")
	evNoAudit  = logevent.New(3002, slog.LevelError, "audit entry not taken")
	evBadWrite = logevent.New(3003, slog.LevelDebug, "answer not written")
)

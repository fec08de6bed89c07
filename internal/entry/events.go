package entry

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evDraining       = logevent.New(1100, slog.LevelInfo, "entry host is draining")
	evDrained        = logevent.New(1101, slog.LevelInfo, "entry host drained: no request is open")
	evHostsNotRead   = logevent.New(1102, slog.LevelWarn, "cannot read the host list; the previous one stays in use")
	evConfigured     = logevent.New(1103, slog.LevelInfo, "entry host applied a new configuration")
	evResending      = logevent.New(1104, slog.LevelInfo, "call to a scheduler ended with unknown outcome; the request is sent again")
	evStarted        = logevent.New(1106, slog.LevelInfo, "entry host started")
	evOutcomeUnknown = logevent.New(1105, slog.LevelWarn, "request answered with outcome unknown")
)

package entry

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evDraining   = logevent.New(1100, slog.LevelInfo, "entry drains")
	evDrained    = logevent.New(1101, slog.LevelInfo, "entry has no open request")
	evHosts      = logevent.New(1102, slog.LevelWarn, "host list not read")
	evConfigured = logevent.New(1103, slog.LevelInfo, "entry follows configuration")
	evDoubt      = logevent.New(1104, slog.LevelInfo, "request offered again after doubt")
	evServing    = logevent.New(1106, slog.LevelInfo, "entry serves callers")
	evUnknown    = logevent.New(1105, slog.LevelWarn, "request answered as unknown")
)

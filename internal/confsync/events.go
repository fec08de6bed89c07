package confsync

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evInstalled   = logevent.New(3100, slog.LevelInfo, "configuration version in force")
	evRejected    = logevent.New(3101, slog.LevelWarn, "configuration record not accepted")
	evLogDown     = logevent.New(3102, slog.LevelWarn, "configuration stream can't be read")
	evLogBack     = logevent.New(3103, slog.LevelInfo, "configuration stream can be read again")
	evGap         = logevent.New(3104, slog.LevelError, "configuration records expired unread")
	evSaved       = logevent.New(3105, slog.LevelInfo, "configuration snapshot written")
	evSaveFailed  = logevent.New(3106, slog.LevelWarn, "configuration snapshot not written")
	evBadUpdate   = logevent.New(3107, slog.LevelWarn, "configuration update of another host can't be read")
	evEncodeFault = logevent.New(3108, slog.LevelError, "configuration update can't be encoded")
)

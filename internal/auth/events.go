package auth

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evRefused     = logevent.New(1200, slog.LevelInfo, "call without a valid token refused")
	evForbidden   = logevent.New(1201, slog.LevelInfo, "call not allowed for the token's role")
	evTokens      = logevent.New(1202, slog.LevelWarn, "tokens file not reloaded")
	evCertificate = logevent.New(1203, slog.LevelWarn, "certificate files not reloaded")
)

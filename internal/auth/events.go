package auth

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evUnauthorized           = logevent.New(1200, slog.LevelInfo, "call rejected: no valid token")
	evForbidden              = logevent.New(1201, slog.LevelInfo, "call rejected: not allowed for the token's role")
	evTokensNotReloaded      = logevent.New(1202, slog.LevelWarn, "cannot reload the tokens file; the previous tokens stay valid")
	evCertificateNotReloaded = logevent.New(1203, slog.LevelWarn, "cannot reload the certificate files; the previous certificate stays in use")
)

package auth

import (
	"log/slog"
	"net/http"

	"coltsfootmux/internal/problem"
)

// Middleware lets a call through when its caller is known and allowed accepts
// it, with the Identity in the request's context. Other calls are answered with
// 401 or 403 and never reach next. A nil allowed accepts every known caller.
func Middleware(a Authenticator, log *slog.Logger, allowed func(Identity) bool, next http.Handler) http.Handler {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, err := a.Authenticate(r)
		if err != nil {
			evRefused.Log(r.Context(), log, slog.String("from", r.RemoteAddr), slog.String("error", err.Error()))
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem.New(http.StatusUnauthorized, "unauthorized", "Send a known token in the Authorization header.").Write(w)
			return
		}
		if allowed != nil && !allowed(who) {
			evForbidden.Log(r.Context(), log, slog.String("name", who.Name), slog.String("path", r.URL.Path))
			problem.New(http.StatusForbidden, "forbidden", "The token's role does not allow this call.").Write(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(WithIdentity(r.Context(), who)))
	})
}

package auth

import (
	"log/slog"
	"net/http"

	"coltsfootmux/internal/problem"
)

// Middleware passes a call to next, with the caller's Identity in the request's
// context, if a authenticates the caller and allowed returns true. It answers
// other calls with 401 or 403. A nil allowed accepts every authenticated caller.
func Middleware(a Authenticator, log *slog.Logger, allowed func(Identity) bool, next http.Handler) http.Handler {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := a.Authenticate(r)
		if err != nil {
			evUnauthorized.Log(r.Context(), log, slog.String("from", r.RemoteAddr), slog.String("error", err.Error()))
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem.New(http.StatusUnauthorized, "unauthorized", "Send a known token in the Authorization header.").Write(w)
			return
		}
		if allowed != nil && !allowed(identity) {
			evForbidden.Log(r.Context(), log, slog.String("name", identity.Name), slog.String("path", r.URL.Path))
			problem.New(http.StatusForbidden, "forbidden", "The token's role does not allow this call.").Write(w)
			return
		}
		next.ServeHTTP(w, r.WithContext(WithIdentity(r.Context(), identity)))
	})
}

package entry

import (
	"context"
	"net/http"
	"time"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/entry/route"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
	"coltsfootmux/internal/wire"
)

// queryTimeout bounds status queries and cancellations.
const queryTimeout = 10 * time.Second

// handleStatus answers GET /v1/requests/{key}.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	key := model.Key(r.PathValue("key"))
	if p := checkKey(key); p != nil {
		p.Write(w)
		return
	}
	identity, _ := auth.FromContext(r.Context())
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	rep, giveUp := callOwner[wire.StatusQuery, statusReply](ctx, s, key, wire.KindStatus, anyEpoch(wire.StatusQuery{Key: key, Limit: 1}))
	if giveUp != nil {
		notAnswered(giveUp).Write(w)
		return
	}
	for i := range rep.Items {
		it := &rep.Items[i]
		if it.Key == key && it.State != wire.StateNone && identity.MayViewAccount(it.Account) {
			writeJSON(w, http.StatusOK, answerOf(it))
			return
		}
	}
	notFound().Write(w)
}

func notFound() *problem.Problem {
	return problem.New(http.StatusNotFound, codeNotFound, "No request with this key is known.")
}

// notAnswered returns the problem for a call that no scheduler answered.
func notAnswered(g *route.GiveUp) *problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, string(g.Reason), "No scheduler could answer for this key; try again.")
	p.RetryAfter = max(g.RetryAfter, defaultRetryAfter)
	return p
}

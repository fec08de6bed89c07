package entry

import (
	"context"
	"net/http"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
	"coltsfootmux/internal/wire"
)

// CancelBody is the JSON of a cancellation that took hold.
type CancelBody struct {
	Key model.Key `json:"key"`
	// Cancelled says that nothing of the work starts from now on.
	Cancelled bool `json:"cancelled"`
	// Started says that some of it had run before it was stopped.
	Started bool `json:"started,omitempty"`
}

// handleCancel answers DELETE /v1/requests/{key}.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	key := model.Key(r.PathValue("key"))
	if p := checkKey(key); p != nil {
		p.Write(w)
		return
	}
	account, p := accountOf(r, auth.Identity.MayActFor)
	if p != nil {
		p.Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	rep, none := ask[wire.Cancel, cancelReply](ctx, s, key, wire.KindCancel, asIs(wire.Cancel{Key: key, Account: account}))
	switch {
	case none != nil:
		notAnswered(none).Write(w)
	case rep.Cancelled, rep.Reason == model.ReasonCancelled:
		writeJSON(w, http.StatusOK, CancelBody{Key: key, Cancelled: true, Started: !rep.Cancelled})
	default:
		notCancelled(key, rep.Reason).Write(w)
	}
}

// notCancelled says why work goes on, or has ended, despite a cancellation.
func notCancelled(key model.Key, why model.Reason) *problem.Problem {
	var p *problem.Problem
	switch why {
	case model.ReasonUnknownAccount:
		p = notFound()
	case model.ReasonOK, model.ReasonTaskFailed:
		p = problem.New(http.StatusConflict, codeEnded, "The work has ended already; ask for its outcome.")
	default:
		p = problem.New(http.StatusConflict, string(why), "The work could not be cancelled; ask for its state.")
	}
	p.Key = string(key)
	return p
}

// accountOf gives the account that a call is about: the one asked for, or the
// caller's own. It is refused unless the caller is allowed.
func accountOf(r *http.Request, allowed func(auth.Identity, model.Account) bool) (model.Account, *problem.Problem) {
	who, _ := auth.FromContext(r.Context())
	account := model.Account(r.URL.Query().Get("account"))
	if account == "" {
		account = who.Account
	}
	if account == "" {
		return "", problem.New(http.StatusBadRequest, codeInvalid, "Name the client account in the query, such as ?account=farms.")
	}
	if !allowed(who, account) {
		return "", problem.New(http.StatusForbidden, codeForbidden, "The token does not allow this for the account.")
	}
	return account, nil
}

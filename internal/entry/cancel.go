package entry

import (
	"context"
	"net/http"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
	"coltsfootmux/internal/wire"
)

// CancelBody is the JSON of the response to a successful cancellation.
type CancelBody struct {
	Key model.Key `json:"key"`
	// Cancelled means that no part of the work starts from now on.
	Cancelled bool `json:"cancelled"`
	// Started means that some of it had run before it was stopped.
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
	rep, giveUp := callOwner[wire.Cancel, cancelReply](ctx, s, key, wire.KindCancel, anyEpoch(wire.Cancel{Key: key, Account: account}))
	switch {
	case giveUp != nil:
		notAnswered(giveUp).Write(w)
	case rep.Cancelled, rep.Reason == model.ReasonCancelled:
		writeJSON(w, http.StatusOK, CancelBody{Key: key, Cancelled: true, Started: !rep.Cancelled})
	default:
		notCancelled(key, rep.Reason).Write(w)
	}
}

// notCancelled returns the problem for a cancellation without effect.
func notCancelled(key model.Key, reason model.Reason) *problem.Problem {
	var p *problem.Problem
	switch reason {
	case model.ReasonUnknownAccount:
		p = notFound()
	case model.ReasonOK, model.ReasonTaskFailed:
		p = problem.New(http.StatusConflict, codeEnded, "The work has ended already; ask for its outcome.")
	default:
		p = problem.New(http.StatusConflict, string(reason), "The work could not be cancelled; ask for its state.")
	}
	p.Key = string(key)
	return p
}

// accountOf returns the account that a call is about: the one in the query, or the
// caller's own. The problem is non-nil if there is none or the caller is not allowed.
func accountOf(r *http.Request, allowed func(auth.Identity, model.Account) bool) (model.Account, *problem.Problem) {
	identity, _ := auth.FromContext(r.Context())
	account := model.Account(r.URL.Query().Get("account"))
	if account == "" {
		account = identity.Account
	}
	if account == "" {
		return "", problem.New(http.StatusBadRequest, codeInvalid, "Name the client account in the query, such as ?account=farms.")
	}
	if !allowed(identity, account) {
		return "", problem.New(http.StatusForbidden, codeForbidden, "The token does not allow this for the account.")
	}
	return account, nil
}

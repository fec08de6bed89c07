package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
	"coltsfootmux/internal/wire"
)

const (
	defaultLimit = 100
	maxLimit     = 1000
	// maxHops is the most requests for one cancellation while following owners from
	// one scheduler.
	maxHops = 4
)

// showJobs lists the jobs and requests of an account. A client account's token can
// list only its own.
func (s *Server) showJobs(w http.ResponseWriter, r *http.Request) {
	account, p := parseAccount(r)
	if p != nil {
		p.Write(w)
		return
	}
	limit, p := parseLimit(r)
	if p != nil {
		p.Write(w)
		return
	}
	replies, unanswered := queryAll(r.Context(), s, func(ctx context.Context, addr string) (wire.StatusReply, error) {
		return s.opts.Schedulers.Status(ctx, addr, wire.StatusQuery{Account: account, Limit: limit})
	})
	s.writeJSON(w, r, http.StatusOK, JobsResponse{Jobs: mergeJobs(replies, limit), Unanswered: unanswered})
}

func mergeJobs(replies []wire.StatusReply, limit int) []wire.Status {
	out := []wire.Status{}
	for _, rep := range replies {
		out = append(out, rep.Items...)
	}
	slices.SortFunc(out, func(a, b wire.Status) int { return cmp.Compare(a.Key, b.Key) })
	out = slices.CompactFunc(out, func(a, b wire.Status) bool { return a.Key == b.Key })
	return out[:min(limit, len(out))]
}

// parseAccount returns the account that the request names, by default the caller's
// own, if the caller may view it.
func parseAccount(r *http.Request) (model.Account, *problem.Problem) {
	who := identity(r)
	account := model.Account(r.URL.Query().Get("account"))
	if account == "" {
		account = who.Account
	}
	if account == "" {
		return "", problem.New(http.StatusBadRequest, codeInvalidQuery, "The account parameter is missing.")
	}
	if !who.MayViewAccount(account) {
		return "", problem.New(http.StatusForbidden, codeForbidden, "The token does not belong to this account.")
	}
	return account, nil
}

func parseLimit(r *http.Request) (int, *problem.Problem) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, problem.New(http.StatusBadRequest, codeInvalidQuery, "The limit must be a number from 1 to 1000.")
	}
	return n, nil
}

// cancelJob cancels a job or request on behalf of the account that submitted it.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) {
	who := identity(r)
	account := model.Account(cmp.Or(r.URL.Query().Get("account"), string(who.Account)))
	if account == "" || !who.MayActFor(account) {
		problem.New(http.StatusForbidden, codeForbidden, "Only the account that submitted the job or request can cancel it.").Write(w)
		return
	}
	rep, ok := s.cancel(r.Context(), wire.Cancel{Key: model.Key(r.PathValue("key")), Account: account})
	if !ok {
		problem.New(http.StatusServiceUnavailable, codeNoScheduler, "The scheduler that owns the key could not be reached; try again.").Write(w)
		return
	}
	s.writeJSON(w, r, http.StatusOK, CancelResponse{Done: rep.Cancelled, Reason: rep.Reason})
}

// cancel sends the cancellation to each scheduler in turn, following the owner that
// it names, until one handles it. It reports whether one did.
func (s *Server) cancel(ctx context.Context, c wire.Cancel) (wire.CancelReply, bool) {
	hosts, err := s.schedulers(ctx)
	if err != nil {
		return wire.CancelReply{}, false
	}
	for _, h := range hosts {
		addr := h.Addr
		for range maxHops {
			rep, err := s.sendCancel(ctx, addr, c)
			if err != nil {
				break
			}
			if !rep.Moved {
				return rep, true
			}
			if rep.Owner.Addr == "" || rep.Owner.Addr == addr {
				break
			}
			addr = rep.Owner.Addr
		}
	}
	return wire.CancelReply{}, false
}

func (s *Server) sendCancel(ctx context.Context, addr string, c wire.Cancel) (wire.CancelReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return s.opts.Schedulers.Cancel(ctx, addr, c)
}

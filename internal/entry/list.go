package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
	"coltsfootmux/internal/wire"
)

const (
	defaultListLimit = 100
	maxListLimit     = 1000
	// maxConcurrentListCalls bounds the concurrent calls to schedulers for one list.
	maxConcurrentListCalls = 8
)

// handleList answers GET /v1/requests?account=.
func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	account, p := accountOf(r, auth.Identity.MayViewAccount)
	if p != nil {
		p.Write(w)
		return
	}
	limit, p := limitOf(r)
	if p != nil {
		p.Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, s.list(ctx, account, limit))
}

func limitOf(r *http.Request) (int, *problem.Problem) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultListLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxListLimit {
		return 0, problem.New(http.StatusBadRequest, codeInvalid, "The limit is a number from 1 to 1000.")
	}
	return n, nil
}

// list gets an account's work from every scheduler and merges the answers.
func (s *Server) list(ctx context.Context, account model.Account, limit int) ListBody {
	out := ListBody{Items: []AnswerBody{}, Complete: true}
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentListCalls)
	for _, addr := range s.schedulers() {
		semaphore <- struct{}{}
		wg.Go(func() {
			rep, err := link.Call[wire.StatusQuery, wire.StatusReply](ctx, s.opts.Pool, addr, wire.KindStatus,
				wire.StatusQuery{Account: account, Limit: limit})
			<-semaphore
			mu.Lock()
			defer mu.Unlock()
			out.add(&rep, account, err)
		})
	}
	wg.Wait()
	out.finish(limit)
	return out
}

// add appends the account's items of a scheduler's reply. If the call has failed,
// the list is incomplete.
func (l *ListBody) add(rep *wire.StatusReply, account model.Account, err error) {
	if err != nil {
		l.Complete = false
		return
	}
	for i := range rep.Items {
		if rep.Items[i].Account == account {
			l.Items = append(l.Items, answerOf(&rep.Items[i]))
		}
	}
}

// finish sorts the items by key and cuts the list at limit. Of several items with
// the same key it keeps one: ended before running before waiting.
func (l *ListBody) finish(limit int) {
	slices.SortFunc(l.Items, func(a, b AnswerBody) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(stateRank(a.State), stateRank(b.State)))
	})
	l.Items = slices.CompactFunc(l.Items, func(a, b AnswerBody) bool { return a.Key == b.Key })
	if len(l.Items) > limit {
		l.Items = l.Items[:limit]
		l.Complete = false
	}
}

func stateRank(s wire.State) int {
	switch s {
	case wire.StateEnded:
		return 0
	case wire.StateRunning:
		return 1
	}
	return 2
}

func (s *Server) schedulers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Schedulers()
}

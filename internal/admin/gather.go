package admin

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/model"
)

const (
	// maxConcurrentQueries is the most schedulers that one call queries concurrently.
	maxConcurrentQueries = 8
	// queryTimeout is the timeout of one request to a scheduler.
	queryTimeout = 3 * time.Second
)

// schedulers returns the schedulers in the host list, in the list's order.
func (s *Server) schedulers(ctx context.Context) ([]model.Host, error) {
	hosts, err := s.opts.Hosts.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h model.Host) bool { return h.Role != model.RoleScheduler }), nil
}

// queryAll calls query for every scheduler and returns the answers, in no particular
// order, and the ids of the schedulers that did not answer, sorted. If the host list
// can't be read, the only id is "host-list".
func queryAll[T any](ctx context.Context, s *Server, query func(ctx context.Context, addr string) (T, error)) ([]T, []model.HostID) {
	unanswered := []model.HostID{}
	hosts, err := s.schedulers(ctx)
	if err != nil {
		return nil, append(unanswered, "host-list")
	}
	var out []T
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for _, h := range hosts {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			v, err := query(ctx, h.Addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				evQueryFailed.Log(ctx, s.opts.Logger, slog.String("host", string(h.ID)), slog.Any("error", err))
				unanswered = append(unanswered, h.ID)
				return nil
			}
			out = append(out, v)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	slices.Sort(unanswered)
	return out, unanswered
}

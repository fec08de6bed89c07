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
	// askAtOnce is the most schedulers that one call queries concurrently.
	askAtOnce = 8
	// askTimeout is the timeout of one request to a scheduler.
	askTimeout = 3 * time.Second
)

// schedulers returns the schedulers in the host list, in the list's order.
func (s *Server) schedulers(ctx context.Context) ([]model.Host, error) {
	hosts, err := s.o.Hosts.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h model.Host) bool { return h.Role != model.RoleScheduler }), nil
}

// gather calls ask for every scheduler and returns the answers, in no particular
// order, and the ids of the schedulers that did not answer, sorted. If the host list
// can't be read, the only id is "host-list".
func gather[T any](ctx context.Context, s *Server, ask func(ctx context.Context, addr string) (T, error)) ([]T, []model.HostID) {
	missing := []model.HostID{}
	hosts, err := s.schedulers(ctx)
	if err != nil {
		return nil, append(missing, "host-list")
	}
	var out []T
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(askAtOnce)
	for _, h := range hosts {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			v, err := ask(ctx, h.Addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				evUnasked.Log(ctx, s.o.Logger, slog.String("host", string(h.ID)), slog.Any("error", err))
				missing = append(missing, h.ID)
				return nil
			}
			out = append(out, v)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	slices.Sort(missing)
	return out, missing
}

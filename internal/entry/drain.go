package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
)

// drainPoll is how often open requests are counted while the host drains.
const drainPoll = 20 * time.Millisecond

// Drain makes the host unready and refuses new work, and waits until no request
// is open. It cuts none: when ctx ends first the error wraps ErrDrain.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	evDraining.Log(ctx, s.opts.Logger, slog.Int("open", s.admission.count()))
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.admission.count() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return eris.Wrapf(ErrDrain, "%d", s.admission.count())
		}
	}
	evDrained.Log(ctx, s.opts.Logger)
	return nil
}

// Open is how many requests are held.
func (s *Server) Open() int { return s.admission.count() }

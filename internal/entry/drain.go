package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
)

// drainPollInterval is the time between checks for open requests during a drain.
const drainPollInterval = 20 * time.Millisecond

// Drain makes the host unready, rejects new work and waits until no request is
// open. It interrupts no request; if ctx ends first, the error wraps ErrDrain.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	evDraining.Log(ctx, s.opts.Logger, slog.Int("open", s.admission.openCount()))
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for s.admission.openCount() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return eris.Wrapf(ErrDrain, "%d", s.admission.openCount())
		}
	}
	evDrained.Log(ctx, s.opts.Logger)
	return nil
}

// OpenRequests returns the number of open HTTP requests to the API.
func (s *Server) OpenRequests() int { return s.admission.openCount() }

package inbound

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootmux/internal/core/admission"
)

// reportInterval is the minimum time between two lines about one listener.
const reportInterval = 10 * time.Second

// pressureReport counts and logs the connections that a listener closed for want of room.
type pressureReport struct {
	opts            *Options
	closed, refused *metrics.Counter

	mu       sync.Mutex
	reported time.Time
	// closes and refusals are those since the latest line.
	closes, refusals int
}

func newPressureReport(o *Options) *pressureReport {
	return &pressureReport{opts: o, closed: closedConns.With(o.Name), refused: refusedConns.With(o.Name)}
}

func (r *pressureReport) add(kind admission.ActionKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch kind {
	case admission.Close:
		r.closed.Inc()
		r.closes++
	case admission.Refuse:
		r.refused.Inc()
		r.refusals++
	}
	if now := time.Now(); now.Sub(r.reported) >= reportInterval {
		r.reported = now
		evConnsClosed.Log(context.Background(), r.opts.Logger, slog.String("listener", r.opts.Name),
			slog.Int("max", r.opts.MaxConns), slog.Int("closed", r.closes), slog.Int("refused", r.refusals))
		r.closes, r.refusals = 0, 0
	}
}

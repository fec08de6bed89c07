package inbound

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// headReport counts and logs the heads that a listener refused.
type headReport struct {
	opts    *Options
	refused *metrics.Counter

	mu       sync.Mutex
	reported time.Time
	// refusals are those since the latest line.
	refusals int
}

func newHeadReport(o *Options) *headReport {
	return &headReport{opts: o, refused: refusedHeads.With(o.Name)}
}

func (r *headReport) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused.Inc()
	r.refusals++
	if now := time.Now(); now.Sub(r.reported) >= reportInterval {
		r.reported = now
		evHeadsRefused.Log(context.Background(), r.opts.Logger, slog.String("listener", r.opts.Name), slog.Int("refused", r.refusals))
		r.refusals = 0
	}
}

package instance

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/lag"
)

const (
	// lateProcess is the lag from which on it is reported.
	lateProcess = 200 * time.Millisecond
	// lagReportInterval is the time between two reports of a process that runs late.
	lagReportInterval = time.Second
)

func init() {
	gauge("coltsfootmux_lag_seconds", "seconds", "how late this process runs its own work", func(i *Instance) float64 { return i.lag.now().Seconds() })
}

// lagMeter measures how late this process runs its own work.
type lagMeter struct {
	mu   sync.Mutex
	core lag.Core
}

// begin says that the lag is observed at each tick from now on.
func (m *lagMeter) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core = lag.NewPeriodic(tickInterval)
}

func (m *lagMeter) observe(late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.Observe(boottime(), late)
}

// now returns the present lag.
func (m *lagMeter) now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Now(boottime())
}

// since returns the greatest lag since a boot time.
func (m *lagMeter) since(from time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Since(boottime(), from)
}

// measureLag observes the lag of this process and reports it until ctx ends. Waits for the state of
// an owned cell are no part of it.
func (i *Instance) measureLag(ctx context.Context) {
	latency := newSchedLatency()
	i.lag.begin()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	last, report := boottime(), lagReport{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := boottime()
		i.lag.observe(max(now-last-tickInterval, latency.read()))
		last = now
		report.step(i, now)
	}
}

// lagReport is what has last been reported of the lag.
type lagReport struct {
	late bool
	next time.Duration
	work workTotals
	// memory is what the process spends on the collection of garbage.
	memory memoryReport
}

// step logs the lag, when it begins, now and then while it lasts, and when it is over.
func (r *lagReport) step(i *Instance, now time.Duration) {
	if now < r.next {
		return
	}
	late := i.lag.since(now - lagReportInterval)
	if late < lateProcess && !r.late {
		return
	}
	r.next = now + lagReportInterval
	attrs := append([]slog.Attr{slog.Bool("late", late >= lateProcess), slog.Duration("lag", late)}, r.memory.attrs()...)
	if o := i.owner.Load(); o != nil {
		w := o.work.totals()
		attrs = append(attrs, slog.Int64("term", o.term), slog.Int64("refused_level", o.refusedLevel.Load()))
		attrs = append(attrs, w.minus(r.work).attrs()...)
		r.work = w
	}
	r.late = late >= lateProcess
	evProcessLate.Log(i.ctx, i.logger, attrs...)
}

// errTimeLimit is the cause of the end of a context of lagMeter.limit.
var errTimeLimit = eris.New("time limit of the call")

// LimitDial returns a context for the opening of a connection that may take d, and longer while this
// process runs late.
func (i *Instance) LimitDial(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return i.lag.limitBy(ctx, d, lag.DialAllowance)
}

// limit returns a context for a call that may take d, and longer while this process runs late: an
// answer that waits here to be read is not taken for silence.
func (m *lagMeter) limit(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return m.limitBy(ctx, d, lag.Allowance)
}

// limitBy returns a context that ends after d and what is allowed for the lag since its begin.
func (m *lagMeter) limitBy(ctx context.Context, d time.Duration, allowance func(late time.Duration) time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	began := boottime()
	giveUp := func() { cancel(errTimeLimit) }
	t := time.AfterFunc(d, func() {
		if more := allowance(m.since(began)); more > 0 {
			time.AfterFunc(more, giveUp)
			return
		}
		giveUp()
	})
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}

package dev

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/load"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpworker"
	"coltsfootmux/internal/standin/worker"
)

// PathPoint is one measurement of PathBench.
type PathPoint struct {
	// Way is "direct" to a worker or "path" through the whole system.
	Way string
	// InFlight is the number of callers that each keep one request open.
	InFlight  int
	Requests  int
	PerSecond float64
	P50       time.Duration
	P99       time.Duration
	Failed    int
}

// PathBench measures requests through the whole path against the same tasks
// started directly at the stand-in workers, in one process and one run.
type PathBench struct {
	// For is how long each point is measured.
	For      time.Duration
	InFlight []int
	Logger   *slog.Logger
}

const (
	// benchRun is the run time of the tasks; the stand-in's timers do the rest.
	benchRun   = time.Millisecond
	benchLease = 4 * time.Second
	// benchRate is more requests a second than any point sends.
	benchRate = 1_000_000
	// benchCrossBytes is more than the path can send between regions.
	benchCrossBytes = 1 << 30
)

func benchSpec() load.KindSpec {
	return load.KindSpec{
		Kind: "bench", Account: AccountOrders, Class: model.ClassNormal, Idempotent: true, Members: 1,
		Shape: model.Shape{Slots: 1, CPUMilli: 100, MemoryMB: 64}, MeanRunTime: benchRun, AnswerBytes: 256, Deadline: 30 * time.Second,
	}
}

// Run measures every point. The error wraps ErrStart.
func (b *PathBench) Run(ctx context.Context) ([]PathPoint, error) {
	size := DefaultSize()
	// Slots and limits are not what is measured.
	size.Capacity.Slots = 16
	size.RatePerSecond, size.Concurrency, size.CrossRegionBytes = benchRate, benchRate, benchCrossBytes
	c, err := Start(ctx, size, b.Logger)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	owned, cancel := context.WithTimeout(ctx, ownedWithin)
	defer cancel()
	if err := c.WaitOwned(owned); err != nil {
		return nil, err
	}
	var out []PathPoint
	for _, n := range b.InFlight {
		direct := newDirect(c)
		out = append(out, b.point(ctx, "direct", n, direct.send))
		caller := load.NewHTTPCaller(c.URLs(), "")
		out = append(out, b.point(ctx, "path", n, func(ctx context.Context, _ int) error { return sendPath(ctx, caller) }))
		caller.Close()
	}
	return out, ctx.Err()
}

// point keeps n requests open for a while.
func (b *PathBench) point(ctx context.Context, way string, n int, send func(context.Context, int) error) PathPoint {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	p := PathPoint{Way: way, InFlight: n}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		wg.Go(func() {
			for time.Since(start) < b.For && ctx.Err() == nil {
				at := time.Now()
				err := send(ctx, i)
				mu.Lock()
				if err != nil {
					p.Failed++
				} else {
					_ = h.RecordValue(max(1, time.Since(at).Microseconds()))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p.Requests = int(h.TotalCount())
	p.PerSecond = float64(p.Requests) / time.Since(start).Seconds()
	p.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	p.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return p
}

func sendPath(ctx context.Context, caller *load.HTTPCaller) error {
	spec := benchSpec()
	told, err := caller.Send(ctx, load.Call{
		Key: load.NewKey(), Spec: &spec, Deadline: time.Now().Add(spec.Deadline), Body: taskBody(spec.MeanRunTime, spec.AnswerBytes),
	})
	if err == nil && told.Outcome != model.OutcomeDone {
		err = eris.Errorf("%s: %s", told.Outcome, told.Reason)
	}
	return err
}

// direct starts tasks at the workers as a cell's owner would, without one.
type direct struct{ workers []platform.Worker }

func newDirect(c *Cluster) *direct {
	all := httpworker.New(httpworker.Options{})
	d := &direct{}
	for _, cell := range c.Platform.Cells {
		for _, w := range cell.Workers {
			d.workers = append(d.workers, all.Dial(w))
		}
	}
	return d
}

// directCell is a cell that no scheduler owns, so that no epoch is in the way.
const directCell = "bench"

func (d *direct) send(ctx context.Context, i int) error {
	w := d.workers[i%len(d.workers)]
	spec := benchSpec()
	id := model.LeaseID(load.NewKey())
	err := w.Start(ctx, platform.Start{
		Lease: id, Cell: directCell, Epoch: 1,
		Grant: &platform.Grant{
			Lease: id, Cell: directCell, Epoch: 1, TTL: benchLease, Shape: spec.Shape,
			Label: platform.Label{Key: model.Key(id), Idempotent: true, Members: 1},
		},
		Body: worker.Spec{RunMS: spec.MeanRunTime.Milliseconds(), AnswerBytes: spec.AnswerBytes}.Encode(),
	})
	if err != nil {
		return err
	}
	_, err = w.Wait(ctx, id)
	return err
}

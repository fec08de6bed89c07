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
	// Route is "direct" if tasks were started directly at the workers, or "path"
	// if requests went through the whole system.
	Route string
	// InFlight is the number of concurrent callers. Each has one open request at a
	// time.
	InFlight int
	// Requests is the number of successful requests, RequestsPerSecond their rate.
	Requests          int
	RequestsPerSecond float64
	// P50 and P99 are latency percentiles of the successful requests.
	P50 time.Duration
	P99 time.Duration
	// Failed is the number of failed requests.
	Failed int
}

// PathBench compares requests through the whole system with the same tasks
// started directly at the stand-in workers, in one process and one run.
type PathBench struct {
	// PointTime is how long each point is measured.
	PointTime time.Duration
	// InFlight lists the numbers of concurrent callers to measure with.
	InFlight []int
	Logger   *slog.Logger
}

const (
	// benchRunTime is the run time that tasks ask for; the timers of the stand-in
	// workers add to it.
	benchRunTime  = time.Millisecond
	benchLeaseTTL = 4 * time.Second
	// benchLimit is the limit on requests per second and on concurrent requests. It
	// is higher than any measurement reaches.
	benchLimit = 1_000_000
	// benchCrossRegionBytes is the limit on bytes per second between regions. It is
	// higher than the system can send.
	benchCrossRegionBytes = 1 << 30
)

// benchSpec returns the kind of request that is measured.
func benchSpec() load.KindSpec {
	return load.KindSpec{
		Kind: "bench", Account: AccountOrders, Class: model.ClassNormal, Idempotent: true, Members: 1,
		Shape: model.Shape{Slots: 1, CPUMilli: 100, MemoryMB: 64}, MeanRunTime: benchRunTime, AnswerBytes: 256, Deadline: 30 * time.Second,
	}
}

// Run measures both routes with every number of callers. If the deployment does
// not start, the error wraps ErrStart; otherwise it is the error of ctx.
func (b *PathBench) Run(ctx context.Context) ([]PathPoint, error) {
	size := DefaultSize()
	// Worker slots and account limits must not slow the requests down.
	size.WorkerCapacity.Slots = 16
	size.RatePerSecond, size.Concurrency, size.CrossRegionBytesPerSecond = benchLimit, benchLimit, benchCrossRegionBytes
	c, err := Start(ctx, size, b.Logger)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if err := c.WaitForOwners(ownerCtx); err != nil {
		return nil, err
	}
	var out []PathPoint
	for _, n := range b.InFlight {
		direct := newDirectSender(c)
		out = append(out, b.measure(ctx, "direct", n, direct.send))
		caller := load.NewHTTPCaller(c.URLs(), "")
		out = append(out, b.measure(ctx, "path", n, func(ctx context.Context, _ int) error { return sendThroughEntry(ctx, caller) }))
		caller.Close()
	}
	return out, ctx.Err()
}

// measure sends requests from n concurrent callers for b.PointTime.
func (b *PathBench) measure(ctx context.Context, route string, n int, send func(context.Context, int) error) PathPoint {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	p := PathPoint{Route: route, InFlight: n}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		wg.Go(func() {
			for time.Since(start) < b.PointTime && ctx.Err() == nil {
				sentAt := time.Now()
				err := send(ctx, i)
				mu.Lock()
				if err != nil {
					p.Failed++
				} else {
					_ = h.RecordValue(max(1, time.Since(sentAt).Microseconds()))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p.Requests = int(h.TotalCount())
	p.RequestsPerSecond = float64(p.Requests) / time.Since(start).Seconds()
	p.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	p.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return p
}

// sendThroughEntry sends a request to the callers' API and waits for its outcome.
func sendThroughEntry(ctx context.Context, caller *load.HTTPCaller) error {
	spec := benchSpec()
	reply, err := caller.Send(ctx, load.Call{
		Key: load.NewKey(), Spec: &spec, Deadline: time.Now().Add(spec.Deadline), Body: taskBody(spec.MeanRunTime, spec.AnswerBytes),
	})
	if err == nil && reply.Outcome != model.OutcomeDone {
		err = eris.Errorf("%s: %s", reply.Outcome, reply.Reason)
	}
	return err
}

// directSender starts tasks at the workers in the place of a scheduler that owns
// the cell.
type directSender struct{ workers []platform.Worker }

func newDirectSender(c *Cluster) *directSender {
	client := httpworker.New(httpworker.Options{})
	d := &directSender{}
	for _, cell := range c.Platform.Cells {
		for _, w := range cell.Workers {
			d.workers = append(d.workers, client.Dial(w))
		}
	}
	return d
}

// directCell is a cell that no scheduler owns, so that workers do not refuse the
// starts for their epoch.
const directCell = "bench"

// send starts a task at worker i, modulo the number of workers, and waits for its
// end.
func (d *directSender) send(ctx context.Context, i int) error {
	w := d.workers[i%len(d.workers)]
	spec := benchSpec()
	id := model.LeaseID(load.NewKey())
	err := w.Start(ctx, platform.Start{
		Lease: id, Cell: directCell, Epoch: 1,
		Grant: &platform.Grant{
			Lease: id, Cell: directCell, Epoch: 1, TTL: benchLeaseTTL, Shape: spec.Shape,
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

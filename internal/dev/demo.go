package dev

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/load"
	"coltsfootmux/internal/report"
	"coltsfootmux/internal/standin/worker"
)

// ErrGuarantee means that a run violated a guarantee: the outcome of a request
// was lost, a task was started twice, or a task was started although its caller
// was told that it was not run.
var ErrGuarantee = eris.New("a guarantee was violated")

// Demo sends both users' workloads to a deployment and checks the outcomes.
type Demo struct {
	Size Size
	// LoadTime is how long requests are sent.
	LoadTime time.Duration
	// Scale multiplies the request rates.
	Scale float64
	// Seed determines the random request times.
	Seed uint64
	// KillHost makes the run kill one own host halfway through.
	KillHost bool
	// RecordingPath, if not empty, is the file that a recording of the run is
	// written to.
	RecordingPath string
	Out           io.Writer
	Logger        *slog.Logger

	loadStart time.Time
	mu        sync.Mutex
	marks     []report.Mark
}

const (
	ownerTimeout     = 30 * time.Second
	progressInterval = time.Second
)

// Run runs the demonstration and prints its results. If the deployment does not
// start, the error wraps ErrStart; if a guarantee is violated, ErrGuarantee.
func (d *Demo) Run(ctx context.Context) error {
	c, err := Start(ctx, d.Size, d.Logger)
	if err != nil {
		return err
	}
	defer c.Stop()
	d.printf("started %d workers in %d racks and %d own hosts", len(c.Platform.Workers), len(c.Platform.Cells), len(c.Hosts))
	started := time.Now()
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if err := c.WaitForOwners(ownerCtx); err != nil {
		return err
	}
	d.printf("every cell and key group has an owner after %v", time.Since(started).Round(time.Millisecond))
	var sampler Sampler
	samplerCtx, stopSampler := context.WithCancel(ctx)
	go sampler.Run(samplerCtx, c)
	d.loadStart = time.Now()
	tally := d.sendRequests(ctx, c)
	stopSampler()
	tally.Check(c.Platform.RunHistory())
	d.printReport(c, tally, &sampler)
	if err := d.writeRecording(c, tally, &sampler); err != nil {
		return err
	}
	if n := tally.Total().Violations(); n > 0 {
		return eris.Wrapf(ErrGuarantee, "%d violations", n)
	}
	return nil
}

// addMark adds an event at the current time to the recording.
func (d *Demo) addMark(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marks = append(d.marks, report.Mark{At: time.Since(d.loadStart), Text: text})
}

// writeRecording writes the recording of the run if a file is set.
func (d *Demo) writeRecording(c *Cluster, tally *load.Tally, s *Sampler) error {
	if d.RecordingPath == "" {
		return nil
	}
	r := tally.Recording("coltsfootmux demonstration", d.loadStart, d.Seed)
	r.Samples, r.Traffic = s.Samples(), c.Traffic()
	d.mu.Lock()
	r.Marks = d.marks
	d.mu.Unlock()
	return r.Write(d.RecordingPath)
}

// printReport prints the results of the run.
func (d *Demo) printReport(c *Cluster, tally *load.Tally, s *Sampler) {
	load.WriteTable(d.Out, tally)
	for _, r := range tally.Reasons() {
		d.printf("%s for %s: %d", r.Outcome, r.Reason, r.Count)
	}
	d.printf("fragmentation, mean over time: %.1f%%", 100*s.MeanFragmentation())
	for _, t := range c.Traffic() {
		d.printf("bytes sent between the system's processes, %s: %d, of which between regions: %d", t.Kind, t.Bytes, t.CrossRegion)
	}
}

// sendRequests sends the requests of both users and returns their outcomes.
func (d *Demo) sendRequests(ctx context.Context, c *Cluster) *load.Tally {
	mix := append(load.Cooperative(AccountOrders, AccountPlanning), load.Observatory(AccountAnalysts, AccountIndex)...)
	caller := load.NewHTTPCaller(c.URLs(), "")
	defer caller.Close()
	drv := &load.Driver{Caller: caller, Tally: load.NewTally(), Body: taskBody}
	schedule := load.Schedule(mix, d.LoadTime, d.Scale, d.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.printProgress(ctx, drv.Tally, len(schedule))
	if d.KillHost {
		go d.killHost(ctx, c)
	}
	drv.Run(ctx, schedule)
	return drv.Tally
}

// killHost kills the last own host halfway through the run.
func (d *Demo) killHost(ctx context.Context, c *Cluster) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(d.LoadTime / 2):
	}
	victim := c.Hosts[len(c.Hosts)-1]
	victim.Kill()
	d.printf("killed %s with its entry, scheduler and admin programs", victim.Name)
	d.addMark("killed " + victim.Name)
}

// printProgress regularly prints the number of answered requests until ctx ends.
func (d *Demo) printProgress(ctx context.Context, t *load.Tally, planned int) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.printf("%d of %d requests answered", t.AnswerCount(), planned)
		}
	}
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// taskBody returns a request body that tells a stand-in worker the task's run
// time and the size of its answer.
func taskBody(run time.Duration, answerBytes int) []byte {
	return worker.Spec{RunMS: run.Milliseconds(), AnswerBytes: answerBytes}.Encode()
}

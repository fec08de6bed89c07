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

// ErrPromise means that a run broke a promise: work lost, doubled, or run
// although its caller was told that it was not.
var ErrPromise = eris.New("a promise was broken")

// Demo is a scripted run of both users' workloads.
type Demo struct {
	Size Size
	// For is how long requests are sent.
	For time.Duration
	// Scale multiplies the rates of arrivals.
	Scale float64
	Seed  uint64
	// Kill ends one own host in the middle of the run.
	Kill bool
	// Record, when set, is the file that a recording of the run is written to.
	Record string
	Out    io.Writer
	Logger *slog.Logger

	began time.Time
	mu    sync.Mutex
	marks []report.Mark
}

const (
	ownedWithin   = 30 * time.Second
	progressEvery = time.Second
)

// Run runs the demonstration and prints what came of it. The error wraps
// ErrStart or ErrPromise.
func (d *Demo) Run(ctx context.Context) error {
	c, err := Start(ctx, d.Size, d.Logger)
	if err != nil {
		return err
	}
	defer c.Stop()
	d.say("started %d workers in %d racks and %d own hosts", len(c.Platform.Workers), len(c.Platform.Cells), len(c.Hosts))
	began := time.Now()
	owned, cancel := context.WithTimeout(ctx, ownedWithin)
	defer cancel()
	if err := c.WaitOwned(owned); err != nil {
		return err
	}
	d.say("every cell and key group has an owner after %v", time.Since(began).Round(time.Millisecond))
	var sampler Sampler
	sampling, stop := context.WithCancel(ctx)
	go sampler.Run(sampling, c)
	d.began = time.Now()
	tally := d.load(ctx, c)
	stop()
	tally.Check(c.Platform.Truth())
	d.report(c, tally, &sampler)
	if err := d.record(c, tally, &sampler); err != nil {
		return err
	}
	if n := tally.Total().Violations(); n > 0 {
		return eris.Wrapf(ErrPromise, "%d answers", n)
	}
	return nil
}

// mark notes a moment of the run.
func (d *Demo) mark(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marks = append(d.marks, report.Mark{At: time.Since(d.began), Text: text})
}

// record writes a recording of the run if that was asked for.
func (d *Demo) record(c *Cluster, tally *load.Tally, s *Sampler) error {
	if d.Record == "" {
		return nil
	}
	r := tally.Recording("coltsfootmux demonstration", d.began, d.Seed)
	r.Samples, r.Traffic = s.Samples(), c.Traffic()
	d.mu.Lock()
	r.Marks = d.marks
	d.mu.Unlock()
	return r.Write(d.Record)
}

// report prints what came of the run.
func (d *Demo) report(c *Cluster, tally *load.Tally, s *Sampler) {
	load.WriteTable(d.Out, tally)
	for _, r := range tally.Reasons() {
		d.say("%s for %s: %d", r.Outcome, r.Reason, r.Count)
	}
	d.say("fragmentation, mean over time: %.1f%%", 100*s.Fragmentation())
	for _, t := range c.Traffic() {
		d.say("bytes between own processes, %s: %d, of them between regions %d", t.Kind, t.Bytes, t.CrossRegion)
	}
}

func (d *Demo) load(ctx context.Context, c *Cluster) *load.Tally {
	mix := append(load.Cooperative(AccountOrders, AccountPlanning), load.Observatory(AccountAnalysts, AccountIndex)...)
	caller := load.NewHTTPCaller(c.URLs(), "")
	defer caller.Close()
	drv := &load.Driver{Caller: caller, Tally: load.NewTally(), Body: taskBody}
	schedule := load.Schedule(mix, d.For, d.Scale, d.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.progress(ctx, drv.Tally, len(schedule))
	if d.Kill {
		go d.killOne(ctx, c)
	}
	drv.Run(ctx, schedule)
	return drv.Tally
}

// killOne ends the last own host half way through.
func (d *Demo) killOne(ctx context.Context, c *Cluster) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(d.For / 2):
	}
	victim := c.Hosts[len(c.Hosts)-1]
	victim.Kill()
	d.say("killed %s with its entry and scheduler", victim.Name)
	d.mark("killed " + victim.Name)
}

func (d *Demo) progress(ctx context.Context, t *load.Tally, planned int) {
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.say("%d of %d answered", t.AnswerCount(), planned)
		}
	}
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// taskBody asks a stand-in worker for a run time and an answer.
func taskBody(run time.Duration, answerBytes int) []byte {
	return worker.Spec{RunMS: run.Milliseconds(), AnswerBytes: answerBytes}.Encode()
}

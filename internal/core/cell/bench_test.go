package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// BenchmarkPassOnAFullPool measures one look at all that waits while nothing is
// free, with 350 workers and 200 waiting jobs.
func BenchmarkPassOnAFullPool(b *testing.B) {
	c := fullCell(350, 200)
	now := c.now
	b.ReportAllocs()
	for b.Loop() {
		now.Mono += 60 * time.Millisecond
		c.changed = true
		c.proven = now.Mono
		c.Step(now, Tick{})
	}
}

func fullCell(workers, waiting int) *Core {
	c := New(testSettings(), 1, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{}
	for n := range workers {
		ev.Workers = append(ev.Workers, external.Worker{
			ID: external.WorkerID(fmt.Sprintf("w%03d", n)), Pool: "p", Rack: fmt.Sprintf("r%02d", n/8),
			Capacity: job.Resources{CPU: 32000, MemMB: 131072, GPU: 8},
		})
	}
	c.Step(c.now, ev)
	for _, w := range c.fleet {
		w.fenced, w.rostered = true, true
		for n := range 8 {
			r := &run{task: job.TaskID{Job: "filler", Index: n}, worker: w, state: runRunning, takes: job.Resources{GPU: 1, CPU: 1000}}
			r.attach()
		}
	}
	for n := range waiting {
		j := single(fmt.Sprintf("j%d", n), 1+n%16)
		j.Queue.Priority = n % 3
		j.Steps[0].Gang, j.Steps[0].SameRack, j.Steps[0].GPU = n%3 == 1, n%2 == 0, 1+n%8
		c.Step(c.now, Submitted{Job: j})
	}
	return c
}

package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// BenchmarkPassOverFullPool measures one placement pass with 200 waiting jobs and
// no free room.
func BenchmarkPassOverFullPool(b *testing.B) {
	for _, workers := range []int{50, 350, 1100, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := fullCell(workers, 200)
			now := c.now
			b.ReportAllocs()
			for b.Loop() {
				now.Mono += 60 * time.Millisecond
				c.placementDue = true
				c.termConfirmedAt = now.Mono
				c.Step(now, Tick{})
			}
		})
	}
}

// BenchmarkListed measures the handling of a worker's answer to a hold with eight runs.
func BenchmarkListed(b *testing.B) {
	for _, workers := range []int{50, 350, 1100, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := fullCell(workers, 0)
			now := c.now
			var rows []external.ActiveRun
			for _, r := range c.fleet[0].runs {
				rows = append(rows, external.ActiveRun{Task: r.task, Run: r.number, Percent: 10})
			}
			number := int64(1)
			for b.Loop() {
				now.Mono += time.Millisecond
				number++
				c.Step(now, HoldAnswered{Worker: c.fleet[0].ID, Number: number, Lists: external.HoldResult{Clock: now.Mono, Running: rows}})
			}
		})
	}
}

// fullCell returns a cell whose workers are full, with waiting jobs.
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
		w.knowsTerm, w.onRoster = true, true
		for n := range 8 {
			r := &run{task: job.TaskID{Job: "filler", Index: n}, worker: w, state: runRunning, resources: job.Resources{GPU: 1, CPU: 1000}}
			r.attach()
		}
	}
	for n := range waiting {
		j := oneStepJob(fmt.Sprintf("j%d", n), 1+n%16)
		j.Queue.Priority = n % 3
		j.Steps[0].Gang, j.Steps[0].SameRack, j.Steps[0].GPU = n%3 == 1, n%2 == 0, 1+n%8
		c.Step(c.now, Submitted{Job: j})
	}
	return c
}

package cell

import (
	"testing"
	"time"
)

// BenchmarkCheapestEviction measures the search for the victims of an urgent gang in a
// pool that is full of low work, with and without PreemptionWait.
func BenchmarkCheapestEviction(b *testing.B) {
	for name, wait := range map[string]time.Duration{"off": 0, "on": 900 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			c := poolFullOfLowWork(350)
			c.settings.PreemptionWait = wait
			for range 8 {
				c.stopTime.Stopped(300 * time.Millisecond)
			}
			gang := oneStepJob("urgent", 5)
			gang.Queue.Priority, gang.Steps[0].Gang, gang.Steps[0].GPU = 0, true, 4
			c.Step(c.now, Submitted{Job: gang})
			b.ReportAllocs()
			for b.Loop() {
				p := c.newPass()
				g := p.ready[0]
				if e := c.cheapestEviction(p, g, g.units[0]); e.on == nil {
					b.Fatal("no eviction found")
				}
			}
		})
	}
}

// poolFullOfLowWork returns a cell whose workers run eight low tasks each.
func poolFullOfLowWork(workers int) *Core {
	c := fullCell(workers, 0)
	filler := oneStepJob("low", 8*workers)
	filler.Queue.Priority = 2
	c.termConfirmedAt = c.now.Mono - time.Hour // no starts
	c.Step(c.now, Submitted{Job: filler})
	units := c.jobs["low"].occurrences[0].groups[0].units
	for i, w := range c.fleet {
		w.runs = nil
		for n, u := range units[8*i : 8*i+8] {
			r := &run{
				task: u.taskID(0), number: 1, unit: u, worker: w, state: runRunning, createdAt: 0, startedAt: 1,
				progressedAt: time.Second, percent: 20 + (7*i+11*n)%70,
			}
			w.runs, u.runs, u.state = append(w.runs, r), append(u.runs, r), unitActive
			r.resources = u.group.step.Resources()
		}
	}
	return c
}

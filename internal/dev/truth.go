package dev

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/worker"
)

// Truth is what the workers really ran.
type Truth struct {
	starts map[truthKey]int
	runs   []worker.Run
}

type truthKey struct {
	key    model.Key
	member int
}

// Truth collects every task that ever ran on any worker.
func (p *Platform) Truth() *Truth {
	t := &Truth{starts: make(map[truthKey]int)}
	for _, c := range p.Cells {
		for _, w := range c.Workers {
			for _, r := range p.Workers[w.ID].Runs() {
				t.starts[truthKey{r.Key, r.Member}]++
				t.runs = append(t.runs, r)
			}
		}
	}
	return t
}

// Starts gives how often a member of a key was started.
func (t *Truth) Starts(k model.Key, member int) int { return t.starts[truthKey{k, member}] }

// Runs gives every run.
func (t *Truth) Runs() []worker.Run { return t.runs }

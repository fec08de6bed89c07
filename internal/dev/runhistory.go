package dev

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/worker"
)

// RunHistory contains the tasks that the workers started, according to the workers
// themselves.
type RunHistory struct {
	starts map[taskKey]int
	runs   []worker.Run
}

// taskKey identifies a task: a member of a request or job.
type taskKey struct {
	key    model.Key
	member int
}

// RunHistory collects the runs of all workers since their start.
func (p *Platform) RunHistory() *RunHistory {
	t := &RunHistory{starts: make(map[taskKey]int)}
	for _, c := range p.Cells {
		for _, w := range c.Workers {
			for _, r := range p.Workers[w.ID].Runs() {
				t.starts[taskKey{r.Key, r.Member}]++
				t.runs = append(t.runs, r)
			}
		}
	}
	return t
}

// Starts returns the number of times that a member of a key was started.
func (t *RunHistory) Starts(k model.Key, member int) int { return t.starts[taskKey{k, member}] }

// Runs returns all runs.
func (t *RunHistory) Runs() []worker.Run { return t.runs }

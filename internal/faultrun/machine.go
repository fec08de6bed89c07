package faultrun

import (
	"context"
	"fmt"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/worker"
)

// machine is one worker.
type machine struct {
	place
	id   model.WorkerID
	w    *worker.Worker
	dead bool
}

// runner gives each run an answer of its own, so that two runs of one key differ.
type runner struct {
	sim *Sim
}

// Plan is for worker.Runner.
func (r runner) Plan(worker.Task) worker.Plan {
	r.sim.planned++
	run := minRun + time.Duration(r.sim.rng.Int64N(int64(maxRun-minRun)))
	return worker.Plan{RunTime: run, Answer: fmt.Appendf(nil, "run %d", r.sim.planned)}
}

func (s *Sim) addMachine(id model.WorkerID, region model.Region) {
	m := &machine{place: place{string(id), region}, id: id}
	m.w = worker.New(worker.Options{
		ID:       id,
		Capacity: model.Shape{Slots: slotsPerWorker},
		Clock:    func() time.Time { return s.now },
		Runner:   runner{s},
	})
	s.machines = append(s.machines, m)
	s.byWorker[id] = m
}

var background = context.Background()

package soak

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/job"
)

// stepBody is a step as callers submit it.
type stepBody struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb,omitempty"`
	GPU           int    `json:"gpu"`
	EstMS         int    `json:"est_ms"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Checkpoints   bool   `json:"checkpoints,omitempty"`
	After         []int  `json:"after,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
}

// step returns the step as the fleet checks it.
func (s *stepBody) step() job.Step {
	return job.Step{
		Count: s.Count, CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU, Gang: s.Gang, SameRack: s.SameRack, Checkpoints: s.Checkpoints, After: s.After,
		LongRunning: s.LongRunning, Label: s.RequiredLabel, DataRack: s.DataRack, MaxPerWorker: s.MaxPerServer,
	}
}

// newJob makes a random job and submits it to the fleet, which checks starts against it.
func (c *callers) newJob(rng *rand.Rand, key string) (*submittedJob, []byte) {
	prefix := [...]string{"/q/", "/u/"}[rng.IntN(2)]
	number := rng.Uint64()
	sent := &submittedJob{id: fmt.Sprintf("%016x", number), key: key}
	queue := job.Queue{MaxTries: plainMaxTries}
	steps := []stepBody{{Count: 1 + rng.IntN(5), CPU: 500, GPU: rng.IntN(3), EstMS: 500, Gang: rng.IntN(3) == 0, Checkpoints: rng.IntN(2) == 0}}
	if rng.IntN(3) == 0 {
		steps = append(steps, stepBody{Count: 2, CPU: 200, EstMS: 300, After: []int{0}})
	}
	repeat := c.drawRepetition(number)
	if repeat.times == manyTimes {
		steps = []stepBody{{Count: 1, CPU: 50, EstMS: 500}}
	}
	if c.bed.opts.Mixed {
		m := c.bed.drawMixed(number)
		prefix, steps, repeat.repetition, sent.failing = m.class.prefix, m.steps, m.repeat, m.poison
		queue = job.Queue{MaxTries: m.class.maxTries, NeedsAdvice: m.class.advice}
		c.bed.mixedJobs.Store(job.ID(sent.id), m)
	}
	sent.path = prefix + sent.id
	if sent.deadly = rng.IntN(deadlyEvery) == 0 && !c.bed.opts.calmLoad() && !sent.failing && repeat.times != manyTimes; sent.deadly {
		c.bed.deadlyJobs.Store(job.ID(sent.id), true)
	}
	if sent.lasting = repeat.lasting && !sent.deadly; sent.lasting {
		sent.failing, repeat.times = false, 0
		steps = c.lastingSteps(number)
	}
	j := &job.Job{ID: job.ID(sent.id), Spec: "soak", Queue: queue}
	for n := range steps {
		j.Steps = append(j.Steps, steps[n].step())
	}
	fields := map[string]any{"spec": "soak", "steps": steps}
	if repeat.times > 0 {
		j.Occurrences, j.IntervalMS, j.FirstDueMS = repeat.times, int64(repeat.intervalMS), time.Now().UnixMilli()
		fields["times"], fields["interval_ms"], fields["start_at_ms"] = j.Occurrences, j.IntervalMS, j.FirstDueMS
	}
	c.bed.fleet.Submit(j)
	body, err := json.Marshal(fields)
	if err != nil {
		c.violationf("body of %s: %v", sent.id, err)
	}
	c.bed.faults.Info("job", slog.String("id", sent.id), slog.String("path", sent.path), slog.Bool("failing", sent.failing), slog.String("body", string(body)))
	c.mu.Lock()
	c.jobs = append(c.jobs, sent)
	c.mu.Unlock()
	return sent, body
}

// lastingSteps returns the steps of a job without end.
func (c *callers) lastingSteps(number uint64) []stepBody {
	s := stepBody{Count: 1, CPU: 500, EstMS: 500, LongRunning: true}
	if c.bed.opts.Mixed {
		s.Count += int(number % 3)
	}
	return []stepBody{s}
}

// repetition is how often a job runs: once, or times times.
type repetition struct {
	times      int
	intervalMS int
}

// drawnRepetition is a repetition, or lasting: until the job is cancelled.
type drawnRepetition struct {
	repetition
	lasting bool
}

// Occurrences of jobs whose progress outgrows a small record, and the time between two in milliseconds.
const (
	manyTimes    = 300
	manyInterval = 20
)

// repeatStream keeps the random numbers of repetitions apart from those of all else.
const repeatStream = 8

// drawRepetition gives every eighth job several times, and every twentieth no end.
func (c *callers) drawRepetition(number uint64) drawnRepetition {
	rng := rand.New(rand.NewPCG(c.bed.opts.Seed+repeatStream, number))
	r := drawnRepetition{repetition{intervalMS: 300 + rng.IntN(1200)}, rng.IntN(20) == 0}
	if rng.IntN(8) == 0 {
		r.times = 2 + rng.IntN(3)
	}
	if c.bed.opts.SmallRecords && rng.IntN(4) == 0 {
		r.times, r.intervalMS = manyTimes, manyInterval
	}
	return r
}

package soak

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
)

// backlogStream keeps the random numbers of backlogs apart from those of all else.
const backlogStream = 14

// Jobs whose tasks end at about the same time, so many on each worker that it can't list their
// ends in one answer.
const (
	backlogTasks = 1600
	backlogCPU   = 4
	backlogWork  = 5 * time.Second
	// outageTime is how long the store takes no progress, slowAppend the time of an append
	// where it is slow in place of that.
	outageTime = 4200 * time.Millisecond
	slowAppend = 400 * time.Millisecond
	// killBefore is how long before the tasks end the owner is killed.
	killBefore = 700 * time.Millisecond
	// maxBeginTime bounds the wait until all tasks of such a job have started.
	maxBeginTime = 4 * time.Second
)

// progressTopics is how the names of the topics of progress begin.
const progressTopics = "keyed.progress-"

// smallTasks is how the tasks of a backlog's job run.
type smallTasks struct{}

func (smallTasks) plan(job.TaskID, int64) (time.Duration, bool) { return backlogWork, false }

// injectBacklogs has the ends of many tasks pile up on their workers, one job after another, each
// followed by a quiet time in which work must go on. It returns what came of each.
func (c *callers) injectBacklogs(until time.Time) []string {
	s, rng := c.bed, rand.New(rand.NewPCG(c.bed.opts.Seed, backlogStream))
	var outcomes []string
	for time.Now().Add(maxBeginTime + backlogWork + quietTime).Before(until) {
		c.submitBacklog(rng)
		s.awaitStarts(backlogTasks)
		f := s.randomBacklog(rng)
		c.liveness.summary()
		s.calm.begin()
		s.logFault("begins", f.name)
		f.play()
		s.calm.end()
		s.logFault("ends", f.name)
		time.Sleep(quietTime)
		outcomes = append(outcomes, fmt.Sprintf("%s: %s", f.name, c.liveness.summary()))
	}
	return outcomes
}

// submitBacklog submits a job of many small tasks and follows it.
func (c *callers) submitBacklog(rng *rand.Rand) {
	steps := []stepBody{{Count: backlogTasks, CPU: backlogCPU, EstMS: int(backlogWork.Milliseconds())}}
	sent := &submittedJob{id: fmt.Sprintf("%016x", rng.Uint64()), key: steadyKey}
	sent.path = "/q/" + sent.id
	c.bed.mixedJobs.Store(job.ID(sent.id), smallTasks{})
	c.bed.fleet.Submit(&job.Job{ID: job.ID(sent.id), Spec: "soak", Queue: job.Queue{MaxTries: plainMaxTries}, Steps: []job.Step{steps[0].step()}})
	body, err := json.Marshal(map[string]any{"spec": "soak", "steps": steps})
	if err != nil {
		c.violationf("body of %s: %v", sent.id, err)
	}
	c.bed.faults.Info("job", slog.String("id", sent.id), slog.String("path", sent.path), slog.Int("tasks", backlogTasks))
	c.mu.Lock()
	c.jobs = append(c.jobs, sent)
	c.mu.Unlock()
	c.submit(rng, sent, body)
}

// awaitStarts waits until so many tasks run, or maxBeginTime is over.
func (s *testbed) awaitStarts(tasks int) {
	for end := time.Now().Add(maxBeginTime); time.Now().Before(end); time.Sleep(retryDelay / 10) {
		running := 0
		s.fleet.With(func(f *fleet.Fleet) { running = f.RunningCount() })
		if running >= tasks {
			return
		}
	}
}

// randomBacklog returns a fault during which tasks end and their ends are not acknowledged, or
// late: the store takes nothing, or the owner is killed and the store takes the progress of the
// next one slowly.
func (s *testbed) randomBacklog(rng *rand.Rand) singleFault {
	outage := [...]store.Fault{{Silent: true}, {Down: true}, {LoseAnswers: true}}[rng.IntN(3)]
	if rng.IntN(2) == 0 {
		return singleFault{fmt.Sprintf("backlog, store %+v", outage), func() {
			s.store.SetFault(outage)
			time.Sleep(backlogWork)
			s.store.SetFault(store.Fault{})
		}}
	}
	return singleFault{"backlog, owner killed, progress is slow", func() {
		time.Sleep(backlogWork - outageTime)
		s.store.SetFault(store.Fault{AppendTime: slowAppend, Topics: s.progressTopics()})
		time.Sleep(outageTime - killBefore)
		if owner, _ := s.owner(); owner != nil {
			owner.kill()
		}
		time.Sleep(outageTime)
		s.store.SetFault(store.Fault{})
		s.startAll()
	}}
}

// progressTopics returns the topics of progress.
func (s *testbed) progressTopics() []external.Topic {
	var out []external.Topic
	for _, t := range s.store.Topics() {
		if strings.HasPrefix(string(t), progressTopics) {
			out = append(out, t)
		}
	}
	return out
}

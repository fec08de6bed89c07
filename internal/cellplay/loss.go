package cellplay

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// runKey identifies a run.
type runKey struct {
	task job.TaskID
	run  int64
}

// startedRun is what the simulation knows of a run that has not ended.
type startedRun struct {
	at         time.Duration
	checkpoint string
	preempted  bool
}

// Loss sums up what preemption has cost.
type Loss struct {
	// CoreSeconds were used by runs that were stopped by preemption, beyond what their
	// checkpoints cover, with the time of the stop and of the restore.
	CoreSeconds float64
	// GangCoreSeconds and RepeatedCoreSeconds are the parts that runs of gangs lost, and
	// that runs of tasks lost that had been preempted before.
	GangCoreSeconds     float64
	RepeatedCoreSeconds float64
	// UnsavedCoreSeconds is the part of tasks without checkpoints.
	UnsavedCoreSeconds float64
	// Runs counts the runs that were lost.
	Runs int
	// Awaited counts the runs that were left to end by themselves, Avoided those of them
	// that did.
	Awaited int
	Avoided int
	// LateReclaims counts the urgent jobs that first started later than
	// Params.ReclaimWithin; their accounts' guarantees cover them.
	LateReclaims int
	// Late counts the urgent jobs that ended after their objective, and Lateness is
	// the sum of the times by which they did.
	Late     int
	Lateness time.Duration
}

// losses records what preemption costs.
type losses struct {
	Loss
	runs        map[runKey]*startedRun
	checkpoints map[runKey]string
	preempted   map[job.TaskID]bool
}

func newLosses() *losses {
	return &losses{runs: make(map[runKey]*startedRun), checkpoints: make(map[runKey]string), preempted: make(map[job.TaskID]bool)}
}

func (l *losses) started(o external.StartOrder, now time.Duration) {
	k := runKey{o.Task, o.Run}
	if l.runs[k] == nil {
		l.runs[k] = &startedRun{at: now, checkpoint: o.Checkpoint}
	}
}

func (l *losses) stopped(a cell.Stop) {
	if r := l.runs[runKey{a.Order.Task, a.Order.Run}]; r != nil && a.Reason == cell.ReasonPreempted {
		r.preempted = true
	}
}

func (l *losses) listed(ends []external.EndedRun) {
	for _, e := range ends {
		l.checkpoints[runKey{e.Task, e.Run}] = e.Checkpoint
	}
}

// ended adds the loss of a run that was preempted and is not done.
func (l *losses) ended(a cell.RunEnded, j *job.Job, restore, now time.Duration) {
	k := runKey{a.Task, a.Run}
	r, checkpoint := l.runs[k], l.checkpoints[k]
	delete(l.runs, k)
	delete(l.checkpoints, k)
	if r == nil || !r.preempted || a.EndReason == external.EndedDone {
		return
	}
	step := &j.Steps[a.Task.Step]
	wasted := now - r.at - savedTime(checkpoint) + savedTime(r.checkpoint)
	if checkpoint != "" {
		wasted += restore
	}
	lost := step.Resources().Cores() * wasted.Seconds()
	l.CoreSeconds += lost
	l.Runs++
	if step.Gang {
		l.GangCoreSeconds += lost
	}
	if l.preempted[a.Task] {
		l.RepeatedCoreSeconds += lost
	}
	if !step.Checkpoints {
		l.UnsavedCoreSeconds += lost
	}
	l.preempted[a.Task] = true
}

// savedTime returns the work that a checkpoint of the stand-in fleet covers.
func savedTime(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}

// stopTime returns how long a run takes to stop: between a quarter of
// Params.StopTime and all of it, the same for all members of a gang.
func (s *simulator) stopTime(t job.TaskID) time.Duration {
	most := s.trace.Params.StopTime
	if most == 0 {
		return 0
	}
	if s.jobs[t.Job].Steps[t.Step].Gang {
		t.Index = 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.String()))
	share := 0.25 + 0.75*rand.New(rand.NewPCG(s.trace.Params.Seed, h.Sum64())).Float64()
	return time.Duration(share * float64(most))
}

// taskTime returns the run time of a task: that of its step, but for its TaskSpread.
func (s *simulator) taskTime(t job.TaskID) time.Duration {
	d, spread := s.runTimes[t.Job][t.Step], s.trace.TaskSpread[s.jobs[t.Job].Queue.Name]
	if spread == 0 {
		return d
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.String()))
	return varied(rand.New(rand.NewPCG(s.trace.Params.Seed, h.Sum64())), d, spread)
}

// trueObjective returns the objective by the true run times. Each step of a job depends
// on the previous one.
func (a *Arrival) trueObjective() time.Duration {
	var path time.Duration
	for _, d := range a.RunTimes {
		path += d
	}
	return a.Job.ObjectiveFor(path)
}

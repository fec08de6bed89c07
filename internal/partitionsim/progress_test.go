package partitionsim

import (
	"time"

	"coltsfootmux/internal/job"
)

const (
	// standingInterval is the time between two looks at the jobs, statusInterval that between
	// two calls for a job's state at each instance.
	standingInterval = 100 * time.Millisecond
	statusInterval   = time.Second
)

// progress watches that accepted work goes on and that callers are told of it. All that it watches
// must go on within a bound, as the jobs leave room on workers that all watched instances reach.
type progress struct {
	sim *simulation
	// within is the bound, since the time from which it counts.
	within, since time.Duration
	// callers are the instances that callers ask.
	callers []*instance
	// lastRun is when a run of each job was last on a worker, lastAnswer when each of the callers
	// was last told by the owner.
	lastRun    map[job.ID]time.Duration
	lastAnswer map[*instance]time.Duration
	violated   bool
}

// watchProgress watches from now on for a time. It submits jobs meanwhile, of which the last still has
// its time.
func (s *simulation) watchProgress(within, length time.Duration, callers []*instance) {
	p := &progress{
		sim: s, within: within, since: s.now, callers: callers,
		lastRun: make(map[job.ID]time.Duration), lastAnswer: make(map[*instance]time.Duration),
	}
	for _, i := range callers {
		s.schedule(s.between(0, statusInterval), func() { p.askStatus(i) })
	}
	end := s.now + length
	p.run(length, end-within)
	p.callers = nil
}

// run looks at the jobs for a time, and submits further ones until the given time.
func (p *progress) run(length, submitUntil time.Duration) {
	s := p.sim
	end, nextJob := s.now+length, s.now
	for s.now < end && !p.violated {
		if s.now >= nextJob && s.now < submitUntil {
			s.submitSmall()
			nextJob = s.now + s.between(200*time.Millisecond, 1500*time.Millisecond)
		}
		s.run(standingInterval)
		p.checkJobs()
		p.checkAnswers()
	}
}

// checkJobs records a job that has had nothing running for longer than the bound.
func (p *progress) checkJobs() {
	s := p.sim
	for _, j := range s.submitted {
		if s.ended(j.ID) {
			continue
		}
		if s.fleet.IsRunning(j.ID) {
			p.lastRun[j.ID] = s.now
		}
		submitted := time.Duration(j.SubmittedMS) * time.Millisecond
		if from := max(p.since, submitted, p.lastRun[j.ID]); s.now-from > p.within {
			p.violatef("job %s has had nothing running since %v", j.ID, from)
			return
		}
	}
}

// checkAnswers records an instance that was told nothing by an owner for longer than the bound.
func (p *progress) checkAnswers() {
	for _, i := range p.callers {
		if from := max(p.since, p.lastAnswer[i]); p.sim.now-from > p.within {
			p.violatef("callers of %s have been told no job's state since %v", i.name(), from)
			return
		}
	}
}

func (p *progress) violatef(format string, args ...any) {
	p.violated = true
	p.sim.violationf(format, args...)
}

// askStatus has an instance ask the owner for a job's state, and again after a time.
func (p *progress) askStatus(i *instance) {
	if p.callers == nil {
		return
	}
	p.sim.schedule(statusInterval, func() { p.askStatus(i) })
	if !i.alive || i.paused {
		return
	}
	i.askCell(func(known bool) {
		if known {
			p.lastAnswer[i] = p.sim.now
		}
	})
}

// submitSmall submits a job for which there is always room.
func (s *simulation) submitSmall() {
	j := s.randomJob()
	j.Steps = []job.Step{{Count: 1 + s.rng.IntN(3), CPU: 1000, MemMB: 10, EstimateMS: 1500, Checkpoints: s.chance(0.5)}}
	s.submitJob(j)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

const (
	// standInterval and askInterval are the times between two looks at the accepted jobs, and
	// between two rounds of questions for a job's state.
	standInterval = 100 * time.Millisecond
	askInterval   = 500 * time.Millisecond
	// askedMachines bounds the machines that are asked in a round.
	askedMachines = 8
)

// liveness checks that accepted work goes on. It is safe for concurrent use.
type liveness struct {
	callers *callers

	mu sync.Mutex
	// open holds the accepted jobs that are neither complete nor cancelled.
	open map[*submittedJob]*standing
	// silentSince is since when a machine has told no state of a job.
	silentSince map[*machine]time.Time
	// longest is the longest time for which a job stood, or a machine told nothing, since the
	// latest summary; tooLong counts those beyond the bound.
	longest time.Duration
	tooLong int
}

// standing is how long an accepted job has had nothing running.
type standing struct {
	since    time.Time
	reported bool
}

func newLiveness(c *callers) *liveness {
	return &liveness{callers: c, open: make(map[*submittedJob]*standing), silentSince: make(map[*machine]time.Time)}
}

// accepted adds a job; over removes it.
func (l *liveness) accepted(j *submittedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[j] = &standing{}
}

func (l *liveness) over(j *submittedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, j)
}

// summary tells how long work stood since the last call.
func (l *liveness) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("work stood up to %.1f s, %d cases beyond the bound", l.longest.Seconds(), l.tooLong)
	l.longest, l.tooLong = 0, 0
	return text
}

// run checks until ctx ends.
func (l *liveness) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.askEvery(ctx) })
	for ctx.Err() == nil {
		l.checkJobs(time.Now())
		time.Sleep(standInterval)
	}
}

func (l *liveness) checkJobs(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers.bed.fleet.With(func(f *fleet.Fleet) {
		for j, s := range l.open {
			task, waits := f.Waiting(job.ID(j.id))
			if !waits {
				s.since = time.Time{}
				continue
			}
			if s.since.IsZero() {
				s.since = now
			}
			if d := l.beyondBound(now, s.since); d > 0 && !s.reported {
				s.reported = true
				l.report("%v: job %s has nothing running for %v, task %v could run", f.Now(), j.id, d, task)
			}
		}
	})
}

// maxReported bounds the violations that are reported one by one between two summaries.
const maxReported = 3

// report records a violation; l.mu must be held.
func (l *liveness) report(format string, args ...any) {
	if l.tooLong++; l.tooLong <= maxReported {
		l.callers.violationf(format, args...)
	}
}

// beyondBound returns for how long something has stood, or 0 if that is allowed; l.mu must be held.
func (l *liveness) beyondBound(now, since time.Time) time.Duration {
	from, bound, ok := l.callers.bed.calm.allowance()
	if !ok {
		return 0
	}
	if since.Before(from) {
		since = from
	}
	l.longest = max(l.longest, now.Sub(since))
	if now.Sub(since) <= bound {
		return 0
	}
	return now.Sub(since)
}

// askEvery asks some machines at a time for the state of an open job.
func (l *liveness) askEvery(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.callers.bed.opts.Seed, askStream))
	for ctx.Err() == nil {
		if j := l.anyOpen(); j != nil {
			l.ask(rng, j)
		}
		time.Sleep(askInterval)
	}
}

// askStream keeps the random numbers of questions apart from those of all else.
const askStream = 11

// anyOpen returns a job that was accepted visibleAfter ago, or nil.
func (l *liveness) anyOpen() *submittedJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	for j := range l.open {
		if time.Since(j.accepted) > visibleAfter {
			return j
		}
	}
	return nil
}

// ask asks some machines that run, at the same time.
func (l *liveness) ask(rng *rand.Rand, j *submittedJob) {
	machines := slices.DeleteFunc(slices.Clone(l.callers.bed.inService()), func(m *machine) bool { return m.pid() == 0 })
	rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	var asked sync.WaitGroup
	for _, m := range machines[:min(len(machines), askedMachines)] {
		asked.Go(func() {
			began, kills := time.Now(), m.kills.Load()
			told := l.callers.callMachine(m, http.MethodGet, j, nil, nil) == http.StatusOK
			l.noteState(m, began, j, told || m.kills.Load() != kills)
		})
	}
	asked.Wait()
}

// noteState records whether a machine has told a job's state, after a question that began then.
func (l *liveness) noteState(m *machine, began time.Time, j *submittedJob, told bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.open[j]
	if told || !open || l.callers.bed.calm.isHarmed(m) {
		delete(l.silentSince, m)
		return
	}
	if l.silentSince[m].IsZero() {
		l.silentSince[m] = began
	}
	if d := l.beyondBound(time.Now(), l.silentSince[m]); d > 0 {
		l.report("%s has told no state of a job for %v, the last time of job %s", m.name, d, j.id)
		l.silentSince[m] = time.Now()
	}
}

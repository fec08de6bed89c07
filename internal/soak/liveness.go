package soak

import (
	"context"
	"fmt"
	"log/slog"
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
	// open holds the accepted jobs that are neither complete nor cancelled, and whether a stand
	// of each was reported. since is since when something of them has stood.
	open  map[*submittedJob]bool
	since map[stand]time.Time
	// silentSince is since when a machine has told no state of a job.
	silentSince map[*machine]time.Time
	// longest is the longest time for which a job stood, or a machine told nothing, since the
	// latest summary; tooLong counts those beyond the bound. longestCalm is the longest time for
	// which something stood in calm, however full the fleet was.
	longest     time.Duration
	longestCalm time.Duration
	tooLong     int
	// aloneRuns counts the members of gangs that ended alone; gangs judges them.
	aloneRuns int
	gangs     *gangJudge
}

// stand is what of a job stands: a task without end, or the whole job if task is zero.
type stand struct {
	job  *submittedJob
	task job.TaskID
	// calmOnly stands count in calm only, and however full the fleet is.
	calmOnly bool
}

func newLiveness(c *callers) *liveness {
	return &liveness{callers: c, open: make(map[*submittedJob]bool), since: make(map[stand]time.Time), silentSince: make(map[*machine]time.Time), gangs: newGangJudge(c.bed)}
}

// accepted adds a job; over removes it.
func (l *liveness) accepted(j *submittedJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[j] = false
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
	text := fmt.Sprintf("work stood up to %.1f s, in calm %.1f s however full, %d cases beyond the bound", l.longest.Seconds(), l.longestCalm.Seconds(), l.tooLong)
	l.longest, l.longestCalm, l.tooLong = 0, 0, 0
	return text
}

// run checks until ctx ends.
func (l *liveness) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.askEvery(ctx) })
	for ctx.Err() == nil {
		l.gangs.seeOwner()
		l.checkJobs(time.Now())
		time.Sleep(standInterval)
	}
}

func (l *liveness) checkJobs(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := make(map[stand]time.Time)
	l.callers.bed.fleet.With(func(f *fleet.Fleet) {
		l.checkGangs(now, f)
		halfInUse := f.HalfInUse()
		for j := range l.open {
			for _, s := range standsOf(f, j, halfInUse) {
				since[s.stand] = now
				if t, stood := l.since[s.stand]; stood {
					since[s.stand] = t
				}
				if end, ran := f.LastEnd(job.ID(j.id)); ran && s.calmOnly && s.task == (job.TaskID{}) {
					// It may have run between two looks.
					since[s.stand] = later(since[s.stand], now.Add(end-f.Now()))
				}
				if d := l.beyond(s.stand, now, since[s.stand]); d > 0 && !l.open[j] {
					l.open[j] = true
					l.report("%v: %s for %v, task %v could run; half in use: %v", f.Now(), s.what, d, s.could, halfInUse)
				}
			}
		}
	})
	l.since = since
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// foundStand is a stand in words, with a task that could run.
type foundStand struct {
	stand
	what  string
	could job.TaskID
}

// standsOf returns what of a job stands now.
func standsOf(f *fleet.Fleet, j *submittedJob, halfInUse bool) []foundStand {
	var out []foundStand
	add := func(task, could job.TaskID, what string) {
		out = append(out, foundStand{stand{j, task, true}, what, could})
		if !halfInUse {
			out = append(out, foundStand{stand{j, task, false}, what, could})
		}
	}
	if could, waits := f.WaitingHoweverFull(job.ID(j.id)); waits {
		add(job.TaskID{}, could, fmt.Sprintf("job %s has nothing running", j.id))
	}
	for _, t := range f.WaitingLasting(job.ID(j.id)) {
		add(t, t, fmt.Sprintf("task %v without end does not run", t))
	}
	return out
}

// beyond returns for how long something has stood, or 0 if that is allowed; l.mu must be held.
func (l *liveness) beyond(s stand, now, since time.Time) time.Duration {
	if !s.calmOnly {
		return l.beyondBound(now, since)
	}
	d, bound := l.stoodFor(now, since)
	if bound != standBound {
		return 0 // a lasting fault is in force
	}
	l.longestCalm = max(l.longestCalm, d)
	if d <= bound {
		return 0
	}
	return d
}

// maxReported bounds the violations that are reported one by one between two summaries.
const maxReported = 3

// report records a violation; l.mu must be held.
func (l *liveness) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.callers.bed.faults.Warn("stands", slog.String("what", text))
	if l.tooLong++; l.tooLong <= maxReported {
		l.callers.violationf("%s", text)
	}
}

// beyondBound returns for how long something has stood, or 0 if that is allowed; l.mu must be held.
func (l *liveness) beyondBound(now, since time.Time) time.Duration {
	d, bound := l.stoodFor(now, since)
	l.longest = max(l.longest, d)
	if d <= bound {
		return 0
	}
	return d
}

// stoodFor returns for how long something has stood that counts, and how long it may.
func (l *liveness) stoodFor(now, since time.Time) (d, bound time.Duration) {
	from, bound, ok := l.callers.bed.calm.allowance()
	if !ok {
		return 0, 0
	}
	if since.Before(from) {
		since = from
	}
	return now.Sub(since), bound
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

package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/core/interference"
)

// maxPastRuns bounds the ended runs that a worker remembers.
const maxPastRuns = 256

// stay is the time that a run of a profile spent on a worker.
type stay struct {
	profile  string
	from, to time.Duration
}

// pastRuns are the ended runs on a worker.
type pastRuns struct {
	stays []stay
	// droppedTo is the latest end of those that were dropped because there were too many.
	droppedTo time.Duration
}

// knowsPastSince reports whether all runs that have ended since then are remembered.
func (w *worker) knowsPastSince(t time.Duration) bool { return t >= w.pastRuns.droppedTo }

// rememberRun records a run that has ended, and forgets those that ended before all
// present runs began.
func (w *worker) rememberRun(r *run, now time.Duration) {
	p := &w.pastRuns
	p.stays = append(p.stays, stay{profile: r.unit.group.profile(), from: r.startedAt, to: now})
	oldest := now - latencyWindow
	for _, o := range w.runs {
		if o.unit != nil && o.startedAt > 0 && !o.unit.group.step.LongRunning && !o.unit.group.step.Gang {
			oldest = min(oldest, o.startedAt)
		}
	}
	p.stays = slices.DeleteFunc(p.stays, func(s stay) bool { return s.to <= oldest })
	if n := len(p.stays) - maxPastRuns; n > 0 {
		p.droppedTo = p.stays[n-1].to
		p.stays = slices.Delete(p.stays, 0, n)
	}
}

// exposures returns, for each profile, the share of the given time during which another
// run of it than r was on the worker.
func (w *worker) exposures(r *run, from, to time.Duration) interference.Exposures {
	stays := slices.Clone(w.pastRuns.stays)
	for _, o := range w.runs {
		if o != r && o.unit != nil && o.startedAt > 0 {
			stays = append(stays, stay{profile: o.unit.group.profile(), from: o.startedAt, to: to})
		}
	}
	slices.SortFunc(stays, func(a, b stay) int { return cmp.Compare(a.from, b.from) })
	covered := make(map[string]time.Duration) // up to when each profile is counted
	present := make(map[string]time.Duration)
	for _, s := range stays {
		begin, end := max(s.from, from, covered[s.profile]), min(s.to, to)
		if end > begin {
			present[s.profile] += end - begin
			covered[s.profile] = end
		}
	}
	out := make(interference.Exposures)
	for p, d := range present {
		out[p] = d.Seconds() / (to - from).Seconds()
	}
	return out
}

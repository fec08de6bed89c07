package instance

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/job"
)

// A process that was stopped for seconds went on with answers of the store from before: reads of
// job topics, which it took for the present state. Until a timer noticed that its term was over,
// it told its peers that jobs that had been accepted meanwhile do not exist, and callers got 410.
func TestOwnerWhoseTermIsNotConfirmedDoesNotDenyJobs(t *testing.T) {
	for name, c := range map[string]struct {
		sinceConfirmed time.Duration
		want           bool
	}{
		"its term has just been confirmed": {0, true},
		"its term may be over":             {jobsReadMaxAge, false},
	} {
		t.Run(name, func(t *testing.T) {
			o, _ := newPausedOwner(t, time.Second)
			confirmed := instant()
			confirmed.Mono -= c.sinceConfirmed
			o.core = cell.New(cell.Settings{StartGrace: time.Second}, 1, &job.Policy{}, confirmed)
			for n := range o.jobsReadAt {
				o.jobsReadAt[n] = boottime() // the answer was sent before the pause
			}
			if r := o.job("accepted meanwhile"); r.Known != c.want {
				t.Errorf("known: %v, want %v", r.Known, c.want)
			}
			if r := o.pending("q"); r.Known != c.want {
				t.Errorf("pending jobs known: %v, want %v", r.Known, c.want)
			}
		})
	}
}

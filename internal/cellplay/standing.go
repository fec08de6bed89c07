package cellplay

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// calmTime is how long after a fault of workers the time counts in which jobs stand.
const calmTime = 4 * time.Second

// StandingResult is how long jobs had nothing running although a task of them could run and
// there was room for it, in times without faults.
type StandingResult struct {
	// Longest is the longest such time, Task what stood then.
	Longest time.Duration
	Task    job.TaskID
	// TooLong counts the jobs that stood for longer than MaxStand.
	TooLong int
	// Reasons counts what the core reported as the reasons of jobs that stood.
	Reasons map[cell.StandReason]int
}

// MaxStand is how long a job may stand in a time without faults.
const MaxStand = 3 * time.Second

// standing follows for how long jobs stand.
type standing struct {
	faults []WorkerFault
	// open holds the jobs that have not ended in the order of their submission.
	open []*openJob
	out  StandingResult
}

// openJob says since when a job stands, if it does, and whether it was counted as one that
// stood for too long.
type openJob struct {
	id      job.ID
	since   time.Duration
	stands  bool
	counted bool
}

func newStanding(t *Trace) *standing {
	return &standing{faults: t.Faults, out: StandingResult{Reasons: make(map[cell.StandReason]int)}}
}

func (s *standing) submitted(id job.ID) { s.open = append(s.open, &openJob{id: id}) }

// started notes a run, which may end before the next check.
func (s *standing) started(id job.ID) {
	for _, j := range s.open {
		if j.id == id {
			j.stands = false
		}
	}
}

func (s *standing) ended(id job.ID) {
	s.open = slices.DeleteFunc(s.open, func(j *openJob) bool { return j.id == id })
}

func (s *standing) addReason(a cell.JobStands) { s.out.Reasons[a.Reason]++ }

func (s *standing) result() StandingResult { return s.out }

// check notes which open jobs stand now.
func (s *standing) check(now time.Duration, f *fleet.Fleet) {
	calm := s.isCalm(now)
	for _, j := range s.open {
		task, stands := f.Waiting(j.id)
		if !stands || !calm {
			j.stands = false
			continue
		}
		if !j.stands {
			j.stands, j.since = true, now
		}
		stood := now - j.since
		if stood > s.out.Longest {
			s.out.Longest, s.out.Task = stood, task
		}
		if stood > MaxStand && !j.counted {
			j.counted = true
			s.out.TooLong++
		}
	}
}

// isCalm reports whether no fault is in force or has ended less than calmTime ago.
func (s *standing) isCalm(now time.Duration) bool {
	return !slices.ContainsFunc(s.faults, func(f WorkerFault) bool {
		return now >= f.At && now < f.At+f.Duration+calmTime
	})
}

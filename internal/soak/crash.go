package soak

import (
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// crashedTime is how long a worker is down after a task has crashed it.
const crashedTime = 2 * time.Second

// setUpCrashes has the first tasks of deadly jobs crash their workers, which come back under
// their names.
func (s *testbed) setUpCrashes() {
	s.fleet.With(func(f *fleet.Fleet) {
		f.Deadly = func(t job.TaskID) bool {
			_, deadly := s.deadlyJobs.Load(t.Job)
			return deadly && t.Step == 0 && t.Index == 0
		}
		f.OnCrash = func(m *fleet.Machine) {
			s.calm.begin()
			time.AfterFunc(crashedTime, func() {
				defer s.calm.end()
				s.fleet.With(func(*fleet.Fleet) { m.Revive() })
				s.register(s.workerNumber(m))
			})
		}
	})
}

// workerNumber returns the number of a worker.
func (s *testbed) workerNumber(m *fleet.Machine) int {
	for n := range s.workers {
		if workerName(n) == m.ID {
			return n
		}
	}
	return 0
}

package soak

import (
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/standin/fleet"
)

// openFaultLog opens the log of faults, to be read beside those of the machines.
func (s *testbed) openFaultLog() error {
	f, err := os.OpenFile(filepath.Join(s.opts.Dir, "faults.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	s.faultLog, s.faults = f, slog.New(slog.NewTextHandler(f, nil))
	return nil
}

func (s *testbed) beginFault(f fault) {
	s.logFault("begins", f.name)
	s.calm.begin()
	f.begin()
}

func (s *testbed) endFault(f fault) {
	f.end()
	s.calm.end()
	s.logFault("ends", f.name)
}

// logFault logs with the fleet's time, by which violations are reported.
func (s *testbed) logFault(what, name string) {
	var now time.Duration
	s.fleet.With(func(f *fleet.Fleet) { now = f.Now() })
	s.faults.Info(what, slog.String("fault", name), slog.String("fleet_time", now.String()))
}

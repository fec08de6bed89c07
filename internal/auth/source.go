package auth

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/logevent"
)

// checkEvery is how often files are looked at for a change.
const checkEvery = time.Second

// stamp is what a file's change shows by.
type stamp struct {
	modified time.Time
	size     int64
}

// source holds a value that is read from files and read again when they change.
type source[T any] struct {
	log    *slog.Logger
	failed logevent.Event
	layer  error
	paths  []string
	read   func(contents [][]byte) (T, error)
	now    func() time.Time

	mu      sync.Mutex
	value   T
	stamps  []stamp
	checked time.Time
}

func newSource[T any](log *slog.Logger, failed logevent.Event, layer error, read func([][]byte) (T, error), paths ...string) (*source[T], error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	s := &source[T]{log: log, failed: failed, layer: layer, paths: paths, read: read, now: time.Now}
	stamps, err := s.stat()
	if err != nil {
		return nil, err
	}
	v, err := s.load()
	if err != nil {
		return nil, err
	}
	s.value, s.stamps, s.checked = v, stamps, s.now()
	return s, nil
}

// get gives the value, after a look at the files when the last one is long ago.
func (s *source[T]) get(ctx context.Context) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < checkEvery {
		return s.value
	}
	s.checked = now
	if err := s.refresh(); err != nil {
		s.failed.Log(ctx, s.log, slog.String("error", err.Error()))
	}
	return s.value
}

// refresh reads the files if they have changed. On an error the value stays.
func (s *source[T]) refresh() error {
	stamps, err := s.stat()
	if err != nil {
		return err
	}
	if equal(stamps, s.stamps) {
		return nil
	}
	v, err := s.load()
	if err != nil {
		return err
	}
	s.value, s.stamps = v, stamps
	return nil
}

func equal(a, b []stamp) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

func (s *source[T]) stat() ([]stamp, error) {
	out := make([]stamp, len(s.paths))
	for i, p := range s.paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, eris.Wrap(s.layer, err.Error())
		}
		out[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

func (s *source[T]) load() (T, error) {
	var none T
	contents := make([][]byte, len(s.paths))
	for i, p := range s.paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return none, eris.Wrap(s.layer, err.Error())
		}
		contents[i] = b
	}
	return s.read(contents)
}

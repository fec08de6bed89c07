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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// fileVersion is the state of a file that is compared to detect a change.
type fileVersion struct {
	modified time.Time
	size     int64
}

// reloader holds a value that is parsed from files and reloaded when they change.
type reloader[T any] struct {
	log *slog.Logger
	// reloadFailed is logged when a reload fails.
	reloadFailed logevent.Event
	// baseErr is wrapped by the errors of reading the files.
	baseErr error
	paths   []string
	// parse gets the contents of the files in the order of paths.
	parse func(contents [][]byte) (T, error)
	now   func() time.Time

	mu        sync.Mutex
	value     T
	versions  []fileVersion
	checkedAt time.Time
}

func newReloader[T any](log *slog.Logger, reloadFailed logevent.Event, baseErr error, parse func([][]byte) (T, error), paths ...string) (*reloader[T], error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	r := &reloader[T]{log: log, reloadFailed: reloadFailed, baseErr: baseErr, paths: paths, parse: parse, now: time.Now}
	versions, err := r.stat()
	if err != nil {
		return nil, err
	}
	v, err := r.load()
	if err != nil {
		return nil, err
	}
	r.value, r.versions, r.checkedAt = v, versions, r.now()
	return r, nil
}

// get returns the value. It first reloads changed files, unless they were checked
// less than checkInterval ago.
func (r *reloader[T]) get(ctx context.Context) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checkedAt) < checkInterval {
		return r.value
	}
	r.checkedAt = now
	if err := r.refresh(); err != nil {
		r.reloadFailed.Log(ctx, r.log, slog.String("error", err.Error()))
	}
	return r.value
}

// refresh reloads the value if the files have changed. On an error it keeps the
// previous value.
func (r *reloader[T]) refresh() error {
	versions, err := r.stat()
	if err != nil {
		return err
	}
	if sameVersions(versions, r.versions) {
		return nil
	}
	v, err := r.load()
	if err != nil {
		return err
	}
	r.value, r.versions = v, versions
	return nil
}

func sameVersions(a, b []fileVersion) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

func (r *reloader[T]) stat() ([]fileVersion, error) {
	out := make([]fileVersion, len(r.paths))
	for i, p := range r.paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, eris.Wrap(r.baseErr, err.Error())
		}
		out[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

func (r *reloader[T]) load() (T, error) {
	var zero T
	contents := make([][]byte, len(r.paths))
	for i, p := range r.paths {
		b, err := os.ReadFile(p)
		if err != nil {
			return zero, eris.Wrap(r.baseErr, err.Error())
		}
		contents[i] = b
	}
	return r.parse(contents)
}

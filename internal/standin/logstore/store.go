package logstore

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/fault"
)

// maxStreams bounds the streams of a Store.
const maxStreams = 16_384

// Store is a stand-in log service. It is safe for concurrent use. Client
// reaches it directly, Handler over HTTP; the same faults apply to both.
type Store struct {
	opts   Options
	faults *fault.Injector

	mu       sync.Mutex
	streams  map[platform.Stream]*stream
	bucket   *bucket
	appended chan struct{} // closed when records have been added
	appends  uint64
	capped   uint64
}

// New makes an empty Store.
func New(opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		opts:     opts,
		faults:   fault.NewInjector(opts.Clock),
		streams:  make(map[platform.Stream]*stream),
		bucket:   newBucket(opts.AppendsPerSecond, opts.Clock()),
		appended: make(chan struct{}),
	}
}

// SetFault replaces the faults in force.
func (s *Store) SetFault(f fault.Fault) { s.faults.SetFault(f) }

// SilenceConnections makes the connections in use go silent for good; new ones work.
func (s *Store) SilenceConnections() { s.faults.SilenceConnections() }

// Counts says how many appends took effect and how many the cap turned away.
func (s *Store) Counts() (appends, capped uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.capped
}

// Entries gives what a stream keeps now, for those who check it from outside.
func (s *Store) Entries(name platform.Stream) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name, s.opts.Clock())
	if st == nil {
		return nil
	}
	// The oldest kept offset is always readable.
	es, _ := st.read(st.bounds().Oldest, len(st.entries))
	return es
}

func (s *Store) append(name platform.Stream, recs []platform.Record) (model.Offset, error) {
	if err := checkAppend(name, recs); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock()
	if !s.bucket.take(now) {
		s.capped++
		return 0, eris.Wrap(platform.ErrThrottled, "too many appends")
	}
	st := s.stream(name, now)
	if st == nil {
		return 0, eris.Wrap(platform.ErrRefused, "too many streams")
	}
	s.appends++
	first := st.append(recs, now)
	close(s.appended)
	s.appended = make(chan struct{})
	return first, nil
}

func checkAppend(name platform.Stream, recs []platform.Record) error {
	switch {
	case name == "" || len(name) > protocol.MaxID:
		return eris.Wrap(platform.ErrRefused, "stream needs a name of 1 to 256 bytes")
	case len(recs) == 0 || len(recs) > protocol.MaxRecords:
		return eris.Wrap(platform.ErrRefused, "an append holds 1 to 4096 records")
	}
	for _, r := range recs {
		if r.ID == "" || len(r.ID) > protocol.MaxID {
			return eris.Wrap(platform.ErrRefused, "a record needs an id of 1 to 256 bytes")
		}
	}
	return nil
}

// read gives entries, or a channel that tells of new ones when there are none.
func (s *Store) read(name platform.Stream, from model.Offset, limit int) ([]platform.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name, s.opts.Clock())
	if st == nil {
		return nil, nil, eris.Wrap(platform.ErrRefused, "too many streams")
	}
	es, err := st.read(max(from, 1), min(max(limit, 1), protocol.MaxRecords))
	return es, s.appended, err
}

func (s *Store) bounds(name platform.Stream) (platform.Bounds, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name, s.opts.Clock())
	if st == nil {
		return platform.Bounds{}, eris.Wrap(platform.ErrRefused, "too many streams")
	}
	return st.bounds(), nil
}

// stream gives a stream without its expired records, nil when there are too
// many streams; the caller holds the lock.
func (s *Store) stream(name platform.Stream, now time.Time) *stream {
	st, ok := s.streams[name]
	if !ok && len(s.streams) >= maxStreams {
		return nil
	}
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.expire(now.Add(-s.opts.Retention))
	return st
}

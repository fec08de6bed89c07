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

// maxStreams limits the number of streams in a Store.
const maxStreams = 16_384

// Store is a stand-in log service. It is safe for concurrent use. Client accesses
// it directly, Handler serves it over HTTP; the same faults apply to both.
type Store struct {
	opts   Options
	faults *fault.Injector

	mu        sync.Mutex
	streams   map[platform.Stream]*stream
	bucket    *bucket
	appended  chan struct{} // closed when records are appended
	appends   uint64
	throttled uint64
}

// New returns an empty Store.
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

// SetFault replaces the current faults.
func (s *Store) SetFault(f fault.Fault) { s.faults.SetFault(f) }

// SilenceConnections silences the connections in use permanently; new connections work.
func (s *Store) SilenceConnections() { s.faults.SilenceConnections() }

// Counts returns how many appends were carried out and how many the rate limit refused.
func (s *Store) Counts() (appends, capped uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.throttled
}

// Entries returns the entries that a stream holds now. No fault applies to it.
func (s *Store) Entries(name platform.Stream) []platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name, s.opts.Clock())
	if st == nil {
		return nil
	}
	// A read from the oldest kept offset cannot fail.
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
		s.throttled++
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
		return eris.Wrap(platform.ErrRefused, "stream name must have 1 to 256 bytes")
	case len(recs) == 0 || len(recs) > protocol.MaxRecords:
		return eris.Wrap(platform.ErrRefused, "an append must have 1 to 4096 records")
	}
	for _, r := range recs {
		if r.ID == "" || len(r.ID) > protocol.MaxID {
			return eris.Wrap(platform.ErrRefused, "record id must have 1 to 256 bytes")
		}
	}
	return nil
}

// read returns entries; if there are none, the channel is closed on the next append.
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

// stream returns a stream without its expired records, creating it if needed. It
// returns nil if there are too many streams. The caller must hold s.mu.
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

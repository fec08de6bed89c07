package logstore

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// maxReadBytes limits the data of one read. The first entry is returned whatever
// its size.
const maxReadBytes = 4 << 20

// stream is an ordered sequence of entries.
type stream struct {
	next    model.Offset
	entries []platform.Entry // oldest first, with consecutive offsets up to next
}

func newStream() *stream { return &stream{next: 1} }

func (s *stream) append(recs []platform.Record, now time.Time) model.Offset {
	first := s.next
	for _, r := range recs {
		r.Data = slices.Clone(r.Data)
		s.entries = append(s.entries, platform.Entry{Offset: s.next, At: now, Record: r})
		s.next++
	}
	return first
}

// expire deletes the entries that were appended before the given time.
func (s *stream) expire(before time.Time) {
	n := 0
	for n < len(s.entries) && s.entries[n].At.Before(before) {
		s.entries[n] = platform.Entry{}
		n++
	}
	s.entries = s.entries[n:]
}

func (s *stream) bounds() platform.Bounds {
	return platform.Bounds{Oldest: s.next - model.Offset(len(s.entries)), Next: s.next}
}

func (s *stream) read(from model.Offset, limit int) ([]platform.Entry, error) {
	b := s.bounds()
	if from < b.Oldest {
		return nil, eris.Wrapf(platform.ErrExpired, "offset %d is older than %d", from, b.Oldest)
	}
	if from >= b.Next {
		return nil, nil
	}
	rest := s.entries[from-b.Oldest:]
	return slices.Clone(rest[:countThatFit(rest, limit)]), nil
}

// countThatFit returns how many of the entries fit into one answer, at least one.
func countThatFit(es []platform.Entry, limit int) int {
	size := 0
	for i, e := range es {
		size += len(e.Record.Data)
		if i >= limit || i > 0 && size > maxReadBytes {
			return i
		}
	}
	return len(es)
}

package drain

import (
	"cmp"
	"maps"
	"slices"
)

// Record says whether a data centre is drained, as of an offset in the operators'
// topic.
type Record struct {
	DataCentre string `cbor:"1,keyasint"`
	Offset     int64  `cbor:"2,keyasint"`
	Drained    bool   `cbor:"3,keyasint,omitempty"`
}

// Set holds the newest record of each data centre. The zero value is ready for use. It
// is not safe for concurrent use.
type Set struct {
	newest map[string]Record
}

// Apply applies a record and reports whether it changed whether the data centre is
// drained. Records that are older than the known one are ignored.
func (s *Set) Apply(r Record) (changed bool) {
	known, ok := s.newest[r.DataCentre]
	if ok && r.Offset <= known.Offset {
		return false
	}
	if s.newest == nil {
		s.newest = make(map[string]Record)
	}
	s.newest[r.DataCentre] = r
	return r.Drained != known.Drained
}

// ApplySnapshot applies the newest records of the topic, whose end was at the given
// offset, and returns the records that changed something. A data centre without a
// record in the snapshot had been taken back by then.
func (s *Set) ApplySnapshot(records []Record, end int64) (changed []Record) {
	present := make(map[string]bool)
	for _, r := range records {
		present[r.DataCentre] = true
	}
	for _, known := range s.Records() {
		if known.Drained && !present[known.DataCentre] {
			records = append(slices.Clip(records), Record{DataCentre: known.DataCentre, Offset: end - 1})
		}
	}
	for _, r := range records {
		if s.Apply(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Records returns the newest record of each data centre, in the order of their names.
func (s *Set) Records() []Record {
	return slices.SortedFunc(maps.Values(s.newest), func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// Drained returns the names of the drained data centres, sorted.
func (s *Set) Drained() []string {
	var out []string
	for _, r := range s.Records() {
		if r.Drained {
			out = append(out, r.DataCentre)
		}
	}
	return out
}

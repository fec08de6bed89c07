package journal

// idSet remembers the latest ids added to it, up to a number.
type idSet struct {
	ring []string
	at   int
	in   map[string]struct{}
}

func newIDSet(size int) *idSet {
	size = max(size, 1)
	return &idSet{ring: make([]string, 0, min(size, 64)), in: make(map[string]struct{}), at: -size}
}

// add remembers an id; it reports false when it is remembered already.
func (s *idSet) add(id string) bool {
	if _, ok := s.in[id]; ok {
		return false
	}
	s.in[id] = struct{}{}
	if s.at < 0 {
		s.ring = append(s.ring, id)
		s.at++
		return true
	}
	delete(s.in, s.ring[s.at])
	s.ring[s.at] = id
	s.at = (s.at + 1) % len(s.ring)
	return true
}

package blame

import "slices"

// Clone returns a copy that shares nothing with h.
func (h *History) Clone() History {
	out := *h
	out.failures = slices.Clone(h.failures)
	return out
}

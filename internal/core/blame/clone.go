package blame

import "slices"

// Clone returns a copy that shares nothing with h.
func (h *History) Clone() History {
	out := *h
	out.failures, out.unexplained = slices.Clone(h.failures), slices.Clone(h.unexplained)
	return out
}

package retry

import "slices"

// Clone returns a copy that shares nothing with p.
func (p *Pool) Clone() Pool {
	out := *p
	out.recent = slices.Clone(p.recent)
	return out
}

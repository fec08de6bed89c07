package worker

import (
	"fmt"

	"coltsfootmux/internal/model"
)

// ExpectedAnswer returns the answer of n bytes of SpecRunner's task for a key and
// member. Callers compare it with the answer that they received, to check that it
// is complete and their own.
func ExpectedAnswer(key model.Key, member, n int) []byte {
	n = min(max(n, 0), maxAnswer)
	unit := fmt.Sprintf("%s/%d;", key, member)
	out := make([]byte, 0, n+len(unit))
	for len(out) < n {
		out = append(out, unit...)
	}
	return out[:n]
}

package worker

import (
	"fmt"

	"coltsfootmux/internal/model"
)

// ExpectedAnswer gives the answer of n bytes that SpecRunner's task for a key and
// member gives, so that a caller can tell whether an answer is whole and its own.
func ExpectedAnswer(key model.Key, member, n int) []byte {
	n = min(max(n, 0), maxAnswer)
	unit := fmt.Sprintf("%s/%d;", key, member)
	out := make([]byte, 0, n+len(unit))
	for len(out) < n {
		out = append(out, unit...)
	}
	return out[:n]
}

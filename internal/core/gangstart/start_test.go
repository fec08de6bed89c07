package gangstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestStartWithoutALimitHasNoBounds(t *testing.T) {
	for name, s := range map[string]Start{"single task": {}, "limit not known": New(time.Second, 0)} {
		if s.SendBy() != 0 || s.IsOverdue(time.Hour) {
			t.Errorf("%s: sent by %v, overdue after an hour: %v", name, s.SendBy(), s.IsOverdue(time.Hour))
		}
	}
}

// TestMembersThatRunAreStoppedBeforeTheyGiveUp checks that a member which starts at the earliest moment
// is stopped in time by a stop that takes as long as the latest start took to be sent.
func TestMembersThatRunAreStoppedBeforeTheyGiveUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ordered := time.Duration(rapid.IntRange(0, 1e6).Draw(rt, "ordered ms")) * ms
		limit := time.Duration(rapid.IntRange(400, 10_000).Draw(rt, "limit ms")) * ms
		s := New(ordered, limit)
		if s.IsOverdue(s.SendBy()) {
			rt.Errorf("stopped while its orders may be sent")
		}
		delay := s.SendBy() - ordered
		for now := ordered; ; now += 50 * ms {
			if s.IsOverdue(now) {
				if now+delay > ordered+limit {
					rt.Errorf("stopped at %v of %v, with a delay of %v", now-ordered, limit, delay)
				}
				return
			}
		}
	})
}

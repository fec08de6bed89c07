package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// coolTime is how long the room of an urgent run that ended is kept from less
// urgent work: in a full pool the next urgent work would preempt what had
// started there (docs/design/0702-placement-on-the-platform.md).
const coolTime = 2 * time.Second

// cooling is room that is kept for urgent work for a while.
type cooling struct {
	takes job.Resources
	until time.Duration
}

// cool keeps the room of an urgent run that has ended.
func (w *worker) cool(r job.Resources, now time.Duration) {
	w.cooling = append(w.cooling, cooling{takes: r, until: now + coolTime})
	w.cooled = w.cooled.Plus(r)
}

// release gives room back whose time is over.
func (w *worker) release(now time.Duration) {
	for len(w.cooling) > 0 && now >= w.cooling[0].until {
		w.cooled = w.cooled.Minus(w.cooling[0].takes)
		w.cooling = w.cooling[1:]
	}
}

package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// cooldownPeriod is how long the room of an urgent run that ended is kept from less
// urgent work: in a full pool the next urgent work would preempt what had
// started there (docs/design/0702-placement-on-the-platform.md).
const cooldownPeriod = 2 * time.Second

// cooldown is room that is kept for urgent work for a while.
type cooldown struct {
	resources job.Resources
	until     time.Duration
}

// startCooldown keeps the room of an urgent run that has ended.
func (w *worker) startCooldown(r job.Resources, now time.Duration) {
	w.cooldowns = append(w.cooldowns, cooldown{resources: r, until: now + cooldownPeriod})
	w.cooldownTotal = w.cooldownTotal.Plus(r)
}

// endCooldowns gives room back whose time is over.
func (w *worker) endCooldowns(now time.Duration) {
	for len(w.cooldowns) > 0 && now >= w.cooldowns[0].until {
		w.cooldownTotal = w.cooldownTotal.Minus(w.cooldowns[0].resources)
		w.cooldowns = w.cooldowns[1:]
	}
}

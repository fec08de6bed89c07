package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// cooldownPeriod is how long the resources of an urgent run that has ended are kept
// from less urgent work. In a full pool, the next urgent work would otherwise
// preempt what had just started there
// (docs/design/0702-placement-on-the-platform.md).
const cooldownPeriod = 2 * time.Second

// cooldown is an amount of resources that is kept for urgent work until a time.
type cooldown struct {
	resources job.Resources
	until     time.Duration
}

// startCooldown keeps the resources of an urgent run that has ended.
func (w *worker) startCooldown(r job.Resources, now time.Duration) {
	w.cooldowns = append(w.cooldowns, cooldown{resources: r, until: now + cooldownPeriod})
	w.cooldownTotal = w.cooldownTotal.Plus(r)
}

// endCooldowns frees the resources of the cooldowns that are over.
func (w *worker) endCooldowns(now time.Duration) {
	for len(w.cooldowns) > 0 && now >= w.cooldowns[0].until {
		w.cooldownTotal = w.cooldownTotal.Minus(w.cooldowns[0].resources)
		w.cooldowns = w.cooldowns[1:]
	}
}

package shed

import "time"

const (
	// promptStart is how long starts may be put off for want of processor time before jobs are refused.
	promptStart = 800 * time.Millisecond
	// delayPerPriority is by how much more they are put off if all jobs of one more priority are refused. All
	// jobs of the least urgent one are refused well before a job that stands beside free workers counts as lost.
	delayPerPriority = time.Second
	// fallPerSecond bounds the fall of the level: what was accepted lately shows its effect after seconds.
	fallPerSecond = 10
)

// Controller is the decision of an owner how much new work all instances refuse.
type Controller struct {
	level float64
	at    time.Duration
}

// NewController returns the state of an owner whose predecessor had some work refused.
func NewController(now time.Duration, before Level) *Controller {
	return &Controller{level: float64(before), at: now}
}

// Step takes in for how long starts are put off for want of processor time, and how many priorities
// there are. It returns the level from now on.
func (c *Controller) Step(now, delay time.Duration, priorities int) Level {
	passed := now - c.at
	c.at = now
	target := float64(whole) * (delay - promptStart).Seconds() / delayPerPriority.Seconds()
	target = min(max(target, 0), float64(whole)*float64(priorities))
	c.level = max(target, c.level-fallPerSecond*passed.Seconds())
	return Level(c.level)
}

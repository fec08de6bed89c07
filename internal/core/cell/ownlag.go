package cell

import (
	"time"

	"coltsfootmux/internal/core/lag"
)

// answerTime returns the time within which an answer that usually takes up to a time has been acted
// on, as the process runs late. Orders that are made again before add to the lag.
func (c *Core) answerTime(usual time.Duration) time.Duration { return usual + lag.Allowance(c.lag) }

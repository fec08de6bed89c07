package load

import "coltsfootmux/internal/model"

// ReasonCount is how often an outcome was given for a reason.
type ReasonCount struct {
	Outcome model.Outcome
	Reason  model.Reason
	Count   int
}

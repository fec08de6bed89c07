package load

import "coltsfootmux/internal/model"

// ReasonCount is the number of answers with an outcome and reason.
type ReasonCount struct {
	Outcome model.Outcome
	Reason  model.Reason
	Count   int
}

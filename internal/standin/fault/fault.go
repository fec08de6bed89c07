package fault

import "time"

// Fault says how an HTTP interface fails. The zero value is healthy.
type Fault struct {
	// Down answers every request with 503 and does nothing.
	Down bool `json:"down,omitempty"`
	// LoseAnswers drops the connection in place of the answer, after the action
	// has been done: for the next n requests, or for all when negative.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Slow delays every request by this much before the action.
	Slow time.Duration `json:"slow,omitempty"`
	// Paused holds every request until the pause ends, and then does it, late.
	Paused bool `json:"paused,omitempty"`
}

package fault

import "time"

// Fault describes how an HTTP interface fails. The zero value is healthy.
type Fault struct {
	// Down answers every request with status 503 and does not execute it.
	Down bool `json:"down,omitempty"`
	// LoseAnswers closes the connection instead of sending the response, after the
	// request has been executed: for the next n requests, or for all if negative.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// Slow delays the execution of every request by this much.
	Slow time.Duration `json:"slow,omitempty"`
	// Paused holds every request until the pause ends, and executes it then.
	Paused bool `json:"paused,omitempty"`
}

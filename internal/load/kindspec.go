package load

import (
	"time"

	"coltsfootmux/internal/model"
)

// KindSpec describes one kind of work in a mix.
type KindSpec struct {
	Kind        model.Kind
	Account     model.Account
	Class       model.Class
	Idempotent  bool
	Preemptible bool
	// Job work outlives its caller's connection and is polled for.
	Job       bool
	Members   int
	Shape     model.Shape
	Adjacency model.Adjacency
	// MeanRunTime is the mean of what it takes; single runs spread around it.
	MeanRunTime time.Duration
	// AnswerBytes is the size of the answer asked for.
	AnswerBytes int
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64
	// Deadline is how long its caller waits.
	Deadline time.Duration
}

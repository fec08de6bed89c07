package load

import (
	"time"

	"coltsfootmux/internal/model"
)

// KindSpec describes one kind of request or job in a mix.
type KindSpec struct {
	Kind        model.Kind
	Account     model.Account
	Class       model.Class
	Idempotent  bool
	Preemptible bool
	// Job says that it is submitted as a job, which continues after the caller has
	// disconnected and is polled for.
	Job       bool
	Members   int
	Shape     model.Shape
	Adjacency model.Adjacency
	// MeanRunTime is the mean run time of its tasks.
	MeanRunTime time.Duration
	// AnswerBytes is the requested size of the answer.
	AnswerBytes int
	// RequestsPerSecond is the mean arrival rate.
	RequestsPerSecond float64
	// Deadline is how long the caller waits.
	Deadline time.Duration
}

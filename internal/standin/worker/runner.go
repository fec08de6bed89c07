package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Runner decides how a task goes.
type Runner interface {
	// Plan must be deterministic and fast; it is called under the worker's lock.
	Plan(t Task) Plan
}

// Task is what a Runner is told of a task.
type Task struct {
	Label platform.Label
	Shape model.Shape
	Body  []byte
}

// Plan is how a task will go unless it is stopped.
type Plan struct {
	// RunTime is how long the task runs.
	RunTime time.Duration
	// Failed says that it ends in failure.
	Failed bool
	// Answer is its whole answer, at most 1 MiB.
	Answer []byte
	// Used is what it uses; the zero value stands for the declared shape.
	Used model.Shape
}

package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Runner decides how long tasks run and how they end.
type Runner interface {
	// Plan must be deterministic and fast; it is called under the worker's lock.
	Plan(t Task) Plan
}

// Task is what a Runner learns about a task.
type Task struct {
	Label platform.Label
	Shape model.Shape
	Body  []byte
}

// Plan describes the run of a task that is not stopped.
type Plan struct {
	// RunTime is how long the task runs.
	RunTime time.Duration
	// Failed means that the task ends in failure.
	Failed bool
	// Answer is the task's complete answer, at most 1 MiB.
	Answer []byte
	// Used is the task's resource usage. The zero value means its declared shape.
	Used model.Shape
}

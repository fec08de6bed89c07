package job

// Status is a job's state as callers see it.
type Status int

// The states of a job. Unknown means that no such job exists.
const (
	Unknown Status = iota
	Queued
	Running
	StatusComplete
	StatusFailed
	StatusCancelled
)

var statusNames = [...]string{"unknown", "queued", "running", "complete", "failed", "cancelled"}

// String gives the status's name.
func (s Status) String() string { return statusNames[s] }

// Status gives the state that callers see for an outcome of an ended job.
func (o Outcome) Status() Status {
	switch o {
	case Complete:
		return StatusComplete
	case Failed:
		return StatusFailed
	case Cancelled:
		return StatusCancelled
	default:
		return Running
	}
}

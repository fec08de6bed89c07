package job

// Status is a job's state as reported to callers.
type Status int

// The states of a job. Unknown means that there is no such job.
const (
	Unknown Status = iota
	Queued
	Running
	StatusComplete
	StatusFailed
	StatusCancelled
)

var statusNames = [...]string{"unknown", "queued", "running", "complete", "failed", "cancelled"}

// String returns the name that callers get.
func (s Status) String() string { return statusNames[s] }

// Status returns the status that is reported to callers for the outcome of an ended
// job.
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

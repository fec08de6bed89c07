package frame

// Type is the type of a frame.
type Type uint8

// The types of frames. The number of a removed type is not reused.
const (
	// Request carries a chunk of a request.
	Request Type = 1
	// Response carries a chunk of a handler's answer.
	Response Type = 2
	// HandlerError carries a chunk of the text of a handler's error.
	HandlerError Type = 3
	// Refuse reports that a request was not passed to a handler. Offset is the
	// reason's code.
	Refuse Type = 4
	// Cancel reports that the caller no longer waits for the answer.
	Cancel Type = 5
	// Heartbeat is a heartbeat: Call is its number and Offset the highest number
	// received from the other side.
	Heartbeat Type = 6
	// GoAway announces an orderly shutdown of the link. Call is the highest call
	// number received; calls with higher numbers are not executed.
	GoAway Type = 7
)

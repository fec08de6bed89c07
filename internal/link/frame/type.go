package frame

// Type says what a frame is for.
type Type uint8

// The types. Numbers are never used again for something else.
const (
	// Request carries a chunk of a request.
	Request Type = 1
	// Response carries a chunk of a handler's answer.
	Response Type = 2
	// HandlerError carries the text of a handler's error.
	HandlerError Type = 3
	// Refuse says that a request was not handed to a handler.
	Refuse Type = 4
	// Cancel says that the caller no longer waits.
	Cancel Type = 5
	// Heartbeat is a heartbeat: Call is its number and Offset the highest number
	// received from the other side.
	Heartbeat Type = 6
	// GoAway ends a link in good order: Call is the last call that was taken.
	GoAway Type = 7
)

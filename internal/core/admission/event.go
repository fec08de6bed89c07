package admission

// EventKind says what happened to a connection.
type EventKind int

// Kinds of events.
const (
	// Opened is a connection that was accepted and waits for its first request.
	Opened EventKind = iota
	// Waiting means that the connection waits for its peer: for a request, for the rest of
	// one, or until an answer is taken.
	Waiting
	// Working means that a request was read whole and has no answer yet.
	Working
	// Progressed means that a waiting connection has received something.
	Progressed
	// Closed is a connection that is gone.
	Closed
)

// Event is something that happened to a connection.
type Event struct {
	Kind EventKind
	Conn ConnID
}

// ActionKind says what to do with a connection.
type ActionKind int

// Kinds of actions.
const (
	// Close closes a connection that the core holds no longer.
	Close ActionKind = iota
	// Refuse closes the connection that was opened.
	Refuse
)

// Action is something to do with a connection.
type Action struct {
	Kind ActionKind
	Conn ConnID
}

package link

// RemoteError is the error that a peer's handler returned.
type RemoteError struct {
	// Text is the text of the handler's error.
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "remote handler: " + e.Text }

// Unwrap makes errors.Is(err, ErrRemote) hold.
func (e *RemoteError) Unwrap() error { return ErrRemote }

package link

// RemoteError is the error that a far side's handler gave.
type RemoteError struct {
	// Text is the handler's error as text.
	Text string
}

// Error gives the text.
func (e *RemoteError) Error() string { return "far side: " + e.Text }

// Unwrap makes errors.Is(err, ErrRemote) hold.
func (e *RemoteError) Unwrap() error { return ErrRemote }

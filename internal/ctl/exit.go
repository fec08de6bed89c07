package ctl

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// The exit statuses of the program. Package process also ends a program with
// status 2 for wrong flags and settings.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitForbidden   = 5
	exitUnavailable = 6
	exitPending     = 7
	exitNotFound    = 8
)

// ErrUnreachable means that the server did not respond.
var ErrUnreachable = eris.New("server unreachable")

// Failure is an error that ends the program with a certain exit status.
type Failure struct {
	Status int
	Text   string
}

// Error returns the text.
func (f *Failure) Error() string { return f.Text }

// ExitCode returns the exit status.
func (f *Failure) ExitCode() int { return f.Status }

// usageError returns a failure for wrong arguments.
func usageError(text string) error { return &Failure{Status: exitUsage, Text: text} }

// exitStatusFor returns the exit status for the HTTP status of an error response.
func exitStatusFor(status int) int {
	switch status {
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return exitInvalid
	case http.StatusConflict:
		return exitConflict
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitForbidden
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return exitUnavailable
	}
	return exitFailed
}

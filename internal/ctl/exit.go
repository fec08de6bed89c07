package ctl

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// The exit statuses. 2 is for wrong flags and settings; see package process.
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

// ErrUnreachable means that the server did not answer.
var ErrUnreachable = eris.New("server not reached")

// Failure is an error with the exit status that it ends the program with.
type Failure struct {
	Status int
	Text   string
}

// Error gives the text.
func (f *Failure) Error() string { return f.Text }

// ExitCode gives the exit status.
func (f *Failure) ExitCode() int { return f.Status }

func usage(text string) error { return &Failure{Status: exitUsage, Text: text} }

// exitFor gives the exit status for the HTTP status of an answer.
func exitFor(status int) int {
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

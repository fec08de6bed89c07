package config

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid means that a document violates the schema or a rule between its fields.
var ErrInvalid = eris.New("invalid configuration")

// FieldError is one fault of a document.
type FieldError struct {
	// Line is the line in the text, from 1; 0 when there is no text.
	Line int `json:"line"`
	// Field is the path of the field, such as "accounts[0].share".
	Field string `json:"field"`
	// Problem says what is wrong with the field.
	Problem string `json:"problem"`
}

// Error returns the line, if known, the field and the problem.
func (e *FieldError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Field, e.Problem)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Problem)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// InvalidError holds every fault found in a document.
type InvalidError struct{ Problems []*FieldError }

// Error returns the faults, one on each line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (e *InvalidError) Unwrap() []error {
	out := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		out[i] = p
	}
	return out
}

// asError returns the faults as an *InvalidError, or nil when there are none.
func asError(ps []*FieldError) error {
	if len(ps) == 0 {
		return nil
	}
	return &InvalidError{Problems: ps}
}

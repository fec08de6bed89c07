package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"coltsfootmux/internal/problem"
)

const (
	// envelopeBytes is the space for the other fields of a request.
	envelopeBytes = 16 << 10
	// maxBodyExpansion bounds the factor by which base64 or JSON escapes enlarge a
	// body.
	maxBodyExpansion = 2
)

// Codes of problems with the input, besides the reasons of package model.
const (
	codeMalformed  = "malformed"
	codeTooLarge   = "body_too_large"
	codeSlow       = "body_too_slow"
	codeMediaType  = "media_type"
	codeKeyMissing = "key_missing"
	codeKeyInvalid = "key_invalid"
	codeInvalid    = "invalid_field"
	codeForbidden  = "forbidden"
	codeNotFound   = "not_found"
	codeEnded      = "already_ended"
)

// readJSON decodes an HTTP request's content into v. Unknown fields, a second value
// and content longer than contentLimit(limit) are errors, and so is content that
// takes longer than timeout to arrive. The error is a *problem.Problem.
func readJSON(w http.ResponseWriter, r *http.Request, limit int, timeout time.Duration, v any) error {
	if ct := r.Header.Get("Content-Type"); ct != "" && !strings.HasPrefix(ct, "application/json") {
		return problem.New(http.StatusUnsupportedMediaType, codeMediaType, "Send the body as application/json.")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(timeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, contentLimit(limit)))
	if err != nil {
		return readProblem(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return decodeJSON(b, v)
}

// contentLimit is the longest content of an HTTP request whose task body may have
// limit bytes.
func contentLimit(limit int) int64 { return int64(limit)*maxBodyExpansion + envelopeBytes }

// readProblem returns the problem for an error of reading the content.
func readProblem(err error) *problem.Problem {
	var large *http.MaxBytesError
	var slow interface{ Timeout() bool }
	switch {
	case errors.As(err, &large):
		return problem.New(http.StatusRequestEntityTooLarge, codeTooLarge, "The body is over the size limit.")
	case errors.As(err, &slow) && slow.Timeout():
		return problem.New(http.StatusRequestTimeout, codeSlow, "The body did not arrive in time.")
	}
	return problem.New(http.StatusBadRequest, codeMalformed, "The body was cut short.")
}

// decodeJSON decodes one JSON value into v. Unknown fields and further values are
// errors.
func decodeJSON(b []byte, v any) error {
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return problem.New(http.StatusBadRequest, codeMalformed, "The body is no valid JSON for this call: "+err.Error()+".")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return problem.New(http.StatusBadRequest, codeMalformed, "The body holds more than one JSON value.")
	}
	return nil
}

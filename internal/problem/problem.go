// Package problem writes errors of the HTTP APIs as application/problem+json
// (RFC 9457).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Problem is the body of an error response.
type Problem struct {
	// Title is the text of the HTTP status.
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Code identifies the problem for programs; it doesn't change between versions.
	Code string `json:"code"`
	// Detail is one sentence for people.
	Detail string `json:"detail,omitempty"`
	// Key is the request's key, if it is known.
	Key string `json:"key,omitempty"`
	// Outcome is the request's outcome, if it has one.
	Outcome string `json:"outcome,omitempty"`
	// RetryAfter is sent as a header, in whole seconds rounded up.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose title is the text of the status.
func New(status int, code, detail string) *Problem {
	return &Problem{Title: http.StatusText(status), Status: status, Code: code, Detail: detail}
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// Write sends the problem as the HTTP response.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // an error means that the caller has disconnected
}

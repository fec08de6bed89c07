package protocol

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/platform"
)

// ContentProblem is the media type of a problem document.
const ContentProblem = "application/problem+json"

// Problem is the body of every response that is not a success.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// ProblemOf turns a platform error into its problem document.
func ProblemOf(err error) Problem {
	k := kindOf(err)
	return newProblem(k, err.Error())
}

// NewProblem makes the problem document of a code.
func NewProblem(c Code, detail string) Problem {
	k, ok := kindFor(c)
	if !ok {
		k = kindOf(platform.ErrUnclear)
	}
	return newProblem(k, detail)
}

func newProblem(k kind, detail string) Problem {
	return Problem{Title: http.StatusText(k.status), Status: k.status, Code: k.code, Detail: detail}
}

// ParseProblem reads a problem document. A body that is none, or whose code is
// unknown or does not belong to the status, proves nothing: it gives ErrUnclear.
func ParseProblem(status int, body []byte) error {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return eris.Wrapf(platform.ErrUnclear, "status %d without a problem document", status)
	}
	k, ok := kindFor(p.Code)
	if !ok || k.status != status {
		return eris.Wrapf(platform.ErrUnclear, "status %d with code %q", status, p.Code)
	}
	return eris.Wrap(k.err, p.Detail)
}

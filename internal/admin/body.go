package admin

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/problem"
)

// Limits on request bodies and on the reason of a change.
const (
	maxDocumentBody = 2 * config.MaxTextBytes
	maxSmallBody    = 64 << 10
	maxReasonBytes  = 1000
)

// Codes of JSON problems.
const (
	codeInvalidBody    = "invalid_body"
	codeInvalidConfig  = "invalid_configuration"
	codeInvalidQuery   = "invalid_query"
	codeForbidden      = "forbidden"
	codeConflict       = "conflict"
	codeNotFound       = "not_found"
	codeNoReason       = "reason_required"
	codeLongReason     = "reason_too_long"
	codeChangesNothing = "changes_nothing"
	codeLogUnavailable = "log_unavailable"
	codeAuditFull      = "audit_full"
	codeBusy           = "busy"
	codeUnconfigured   = "not_configured"
	codeNoScheduler    = "no_scheduler"
)

// readBody decodes the request body, which must be a single JSON value of at most
// limit bytes without unknown fields.
func readBody[T any](w http.ResponseWriter, r *http.Request, limit int64) (*T, *problem.Problem) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	var v T
	if err := dec.Decode(&v); err != nil {
		return nil, bodyProblem(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, problem.New(http.StatusBadRequest, codeInvalidBody, "The body has data after its JSON value.")
	}
	return &v, nil
}

func bodyProblem(err error) *problem.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return problem.New(http.StatusRequestEntityTooLarge, codeInvalidBody, "The body is too large.")
	}
	return problem.New(http.StatusBadRequest, codeInvalidBody, err.Error())
}

func (s *Server) writeJSON(w http.ResponseWriter, r *http.Request, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		evWriteFailed.Log(r.Context(), s.opts.Logger, slog.Any("error", err))
	}
}

// writeInvalid responds with the errors in a document.
func writeInvalid(w http.ResponseWriter, err error) {
	body := InvalidDocumentProblem{
		Title: http.StatusText(http.StatusUnprocessableEntity), Status: http.StatusUnprocessableEntity,
		Code: codeInvalidConfig, Detail: err.Error(), Problems: []*config.FieldError{},
	}
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		body.Problems = invalid.Problems
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(&body) // fails only if the client has disconnected
}

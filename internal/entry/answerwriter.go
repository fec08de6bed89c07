package entry

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
)

// refuse answers a call that was not taken in.
func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem, begun time.Time) {
	note("refused", begun)
	p.Write(w)
}

// note counts an answer.
func note(outcome string, begun time.Time) {
	requests.With(outcome).Inc()
	durations.With(outcome).UpdateDuration(begun)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error here means that the caller has gone
}

// unavailable is a refusal that holds for a while.
func unavailable(reason model.Reason, detail string) *problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, string(reason), detail)
	p.Outcome = string(model.OutcomeNotRun)
	p.RetryAfter = usualRetryAfter
	return p
}

func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(http.StatusBadRequest, codeMalformed, "The request can't be read.")
}

func keyAttr(k model.Key) slog.Attr       { return slog.String("key", string(k)) }
func reasonAttr(r model.Reason) slog.Attr { return slog.String("reason", string(r)) }

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

// refuse answers a request that was not accepted.
func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem, start time.Time) {
	countAnswer("refused", start)
	p.Write(w)
}

// countAnswer updates the metrics for an answer to a request that arrived at start.
func countAnswer(outcome string, start time.Time) {
	answers.With(outcome).Inc()
	answerDurations.With(outcome).UpdateDuration(start)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has closed the connection
}

// unavailable returns a 503 problem for a temporary condition; nothing was run.
func unavailable(reason model.Reason, detail string) *problem.Problem {
	p := problem.New(http.StatusServiceUnavailable, string(reason), detail)
	p.Outcome = string(model.OutcomeNotRun)
	p.RetryAfter = defaultRetryAfter
	return p
}

// asProblem returns the problem that err wraps, or a general one.
func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(http.StatusBadRequest, codeMalformed, "The request can't be read.")
}

func keyAttr(k model.Key) slog.Attr       { return slog.String("key", string(k)) }
func reasonAttr(r model.Reason) slog.Attr { return slog.String("reason", string(r)) }

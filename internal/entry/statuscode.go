package entry

import (
	"net/http"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
)

// defaultRetryAfter is the Retry-After if the scheduler gave no time.
const defaultRetryAfter = time.Second

// httpError is how an outcome's reason is reported over HTTP.
type httpError struct {
	status int
	// retry means that the same request may succeed later.
	retry  bool
	detail string
}

// notRunErrors has the HTTP errors for reasons of the outcome not_run.
var notRunErrors = map[model.Reason]httpError{
	model.ReasonRateLimited:     {http.StatusTooManyRequests, true, "The account sends more than its rate."},
	model.ReasonQueueFull:       {http.StatusTooManyRequests, true, "Too much of the account's work is waiting."},
	model.ReasonTooLate:         {http.StatusServiceUnavailable, true, "It could not be finished by its deadline."},
	model.ReasonWaitBound:       {http.StatusServiceUnavailable, true, "It waited as long as the configuration allows."},
	model.ReasonDeadline:        {http.StatusGatewayTimeout, true, "Its deadline passed before it was started."},
	model.ReasonCancelled:       {http.StatusConflict, false, "It was cancelled."},
	model.ReasonImpossible:      {http.StatusUnprocessableEntity, false, "No set of workers holds its shape."},
	model.ReasonUnknownAccount:  {http.StatusUnprocessableEntity, false, "The client account is not in the configuration."},
	model.ReasonKeyReused:       {http.StatusUnprocessableEntity, false, "The key was used for another request."},
	model.ReasonKeyExpired:      {http.StatusUnprocessableEntity, false, "The key is older than outcomes are kept."},
	model.ReasonKeyFromFuture:   {http.StatusUnprocessableEntity, false, "The key's own time is further ahead than clocks may differ."},
	model.ReasonNotAllowedThere: {http.StatusUnprocessableEntity, false, "The account may not run there."},
	model.ReasonBadJob:          {http.StatusUnprocessableEntity, false, "It fails on workers that run other work well."},
}

// defaultNotRunError is for the other reasons, which are temporary.
var defaultNotRunError = httpError{http.StatusServiceUnavailable, true, "The system could not start it now."}

// unknownErrors has the HTTP errors for those reasons of the outcome unknown with
// which a retry is of no use.
var unknownErrors = map[model.Reason]httpError{
	model.ReasonKeyExpired: {http.StatusGone, false, "The key is older than outcomes are kept, so whether it ran can't be told."},
}

// defaultUnknownError is for the other reasons: a later request with the same key
// may find out the outcome.
var defaultUnknownError = httpError{http.StatusGatewayTimeout, true, "Whether it ran could not be proved in time; ask again under the same key."}

// httpErrorOf returns the HTTP error for a result whose outcome is not done.
func httpErrorOf(r *model.Result) httpError {
	byReason, fallback := notRunErrors, defaultNotRunError
	if r.Outcome == model.OutcomeUnknown {
		byReason, fallback = unknownErrors, defaultUnknownError
	}
	if e, ok := byReason[r.Reason]; ok {
		return e
	}
	return fallback
}

// resultProblem returns the problem for a result whose outcome is not done.
func resultProblem(r *model.Result) *problem.Problem {
	e := httpErrorOf(r)
	p := problem.New(e.status, string(r.Reason), e.detail)
	p.Key, p.Outcome = string(r.Key), string(r.Outcome)
	if e.retry {
		p.RetryAfter = max(r.RetryAfter, defaultRetryAfter)
	}
	return p
}

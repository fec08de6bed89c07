package entry

import (
	"net/http"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
)

// usualRetryAfter is what a caller is told when the scheduler named no time.
const usualRetryAfter = time.Second

// answerClass is how an outcome's reason shows in HTTP.
type answerClass struct {
	status int
	// retry says that the same request may work later.
	retry  bool
	detail string
}

// notRun gives the HTTP side of each reason why nothing ran.
var notRun = map[model.Reason]answerClass{
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

// otherNotRun is for reasons that the caller can only wait out.
var otherNotRun = answerClass{http.StatusServiceUnavailable, true, "The system could not start it now."}

// unknown gives the HTTP side of reasons for which asking again is of no use.
var unknown = map[model.Reason]answerClass{
	model.ReasonKeyExpired: {http.StatusGone, false, "The key is older than outcomes are kept, so whether it ran can't be told."},
}

// otherUnknown is for requests whose fate may yet be proved.
var otherUnknown = answerClass{http.StatusGatewayTimeout, true, "Whether it ran could not be proved in time; ask again under the same key."}

// classOf gives the HTTP side of an outcome that is not done.
func classOf(r *model.Result) answerClass {
	classes, other := notRun, otherNotRun
	if r.Outcome == model.OutcomeUnknown {
		classes, other = unknown, otherUnknown
	}
	if c, ok := classes[r.Reason]; ok {
		return c
	}
	return other
}

// resultProblem gives the error answer for an outcome that is not done.
func resultProblem(r *model.Result) *problem.Problem {
	c := classOf(r)
	p := problem.New(c.status, string(r.Reason), c.detail)
	p.Key, p.Outcome = string(r.Key), string(r.Outcome)
	if c.retry {
		p.RetryAfter = max(r.RetryAfter, usualRetryAfter)
	}
	return p
}

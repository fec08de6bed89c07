package entry

import (
	"context"
	"net/http"
	"time"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/problem"
	"coltsfootmux/internal/wire"
)

// handleRequest answers POST /v1/requests.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	var b JobBody
	s.submit(w, r, &b.RequestBody, &b, false)
}

// handleJob answers POST /v1/jobs.
func (s *Server) handleJob(w http.ResponseWriter, r *http.Request) {
	var b JobBody
	s.submit(w, r, &b, &b, true)
}

// submit decodes the call's content into dst, which is b or a part of it, submits
// the work and answers with its outcome.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, dst any, b *JobBody, detached bool) {
	start := time.Now()
	work, p := s.accept(w, r, dst, b, detached)
	if p != nil {
		s.refuse(w, p, start)
		return
	}
	defer s.admission.finish(work.Account)
	acceptedRequests.Inc()
	res := s.submitToOwner(r.Context(), work)
	countAnswer(string(res.Outcome), start)
	s.writeAnswer(w, work, &res)
}

// accept reads, checks and admits a piece of work. If the problem is nil,
// admission.finish must be called later.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, dst any, b *JobBody, detached bool) (*model.Work, *problem.Problem) {
	if s.draining.Load() {
		return nil, unavailable(model.ReasonDraining, "This host is leaving; try again.")
	}
	conf := s.currentConfig()
	if conf == nil {
		return nil, unavailable(model.ReasonNotConfigured, "No configuration is in force yet.")
	}
	if err := readJSON(w, r, conf.bodyLimit(), s.opts.BodyTimeout, dst); err != nil {
		return nil, asProblem(err)
	}
	key, p := keyOf(r.Header.Get(keyHeader), b.Key)
	if p != nil {
		return nil, p
	}
	identity, _ := auth.FromContext(r.Context())
	if b.Account == "" {
		b.Account = identity.Account
	}
	if !identity.MayActFor(b.Account) {
		return nil, problem.New(http.StatusForbidden, codeForbidden, "The token may not send work for this account.")
	}
	c := checker{now: time.Now(), conf: conf}
	work, p := c.buildWork(b, key, detached)
	if p != nil {
		return nil, p
	}
	work.Home = s.opts.Region
	return work, s.admit(conf, work)
}

// admit applies the limits of the work's account.
func (s *Server) admit(conf *activeConfig, w *model.Work) *problem.Problem {
	now := time.Now()
	reason, retryAfter := s.admission.admit(now, w.Account, conf.doc.Effective(now, w.Account, w.Kind))
	if reason == "" {
		return nil
	}
	return resultProblem(&model.Result{Key: w.Key, Outcome: model.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
}

// submitToOwner sends the work to schedulers until its outcome is known or the time
// runs out. For a job it only waits until the job is recorded.
func (s *Server) submitToOwner(ctx context.Context, w *model.Work) model.Result {
	deadline := w.Deadline.Add(answerGrace)
	if w.Detached {
		deadline = w.Submitted.Add(acceptTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	checksum := checksumOf(w)
	rep, giveUp := callOwner[wire.Submit, submitReply](ctx, s, w.Key, wire.KindSubmit, func(e model.Epoch) wire.Submit {
		return wire.Submit{Work: *w, Sum: checksum, Epoch: e}
	})
	if giveUp != nil {
		return model.Result{Key: w.Key, Outcome: giveUp.Outcome, Reason: giveUp.Reason, RetryAfter: giveUp.RetryAfter}
	}
	return rep.Result
}

// writeAnswer answers the caller with the result.
func (s *Server) writeAnswer(w http.ResponseWriter, work *model.Work, res *model.Result) {
	res.Key = work.Key
	switch {
	case work.Detached && res.Reason == model.ReasonNotRecorded:
		p := unavailable(res.Reason, "The job is not recorded yet and not promised; send it again under the same key.")
		p.Key, p.Outcome = string(work.Key), ""
		p.RetryAfter = max(res.RetryAfter, defaultRetryAfter)
		p.Write(w)
	case res.Outcome == model.OutcomeUnknown:
		evOutcomeUnknown.Log(context.Background(), s.opts.Logger, keyAttr(work.Key), reasonAttr(res.Reason))
		resultProblem(res).Write(w)
	case res.Outcome == model.OutcomeNotRun:
		resultProblem(res).Write(w)
	case work.Detached && res.Outcome != model.OutcomeDone:
		w.Header().Set("Location", "/v1/requests/"+string(work.Key))
		writeJSON(w, http.StatusAccepted, &AnswerBody{Key: work.Key, State: wire.StateWaiting})
	default:
		b := AnswerBody{Key: work.Key}
		b.setResult(res)
		writeJSON(w, http.StatusOK, &b)
	}
}

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

// submit decodes the call's body into form, a part of b or the whole of it, and
// sees the work through.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, form any, b *JobBody, detached bool) {
	begun := time.Now()
	work, p := s.accept(w, r, form, b, detached)
	if p != nil {
		s.refuse(w, p, begun)
		return
	}
	defer s.admission.done(work.Account)
	openRequests.Inc()
	res := s.settle(r.Context(), work)
	note(string(res.Outcome), begun)
	s.answer(w, work, &res)
}

// accept reads, checks and admits a piece of work. After a nil problem
// admission.done must be called.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, form any, b *JobBody, detached bool) (*model.Work, *problem.Problem) {
	if s.draining.Load() {
		return nil, unavailable(model.ReasonDraining, "This host is leaving; try again.")
	}
	conf := s.current()
	if conf == nil {
		return nil, unavailable(model.ReasonNotConfigured, "No configuration is in force yet.")
	}
	if err := readJSON(w, r, conf.bodyLimit(), s.opts.BodyTimeout, form); err != nil {
		return nil, asProblem(err)
	}
	key, p := keyOf(r.Header.Get(headerKey), b.Key)
	if p != nil {
		return nil, p
	}
	who, _ := auth.FromContext(r.Context())
	if b.Account == "" {
		b.Account = who.Account
	}
	if !who.MayActFor(b.Account) {
		return nil, problem.New(http.StatusForbidden, codeForbidden, "The token may not send work for this account.")
	}
	c := checker{now: time.Now(), conf: conf}
	work, p := c.work(b, key, detached)
	if p != nil {
		return nil, p
	}
	work.Home = s.opts.Region
	return work, s.admit(conf, work)
}

func (s *Server) admit(conf *inForce, w *model.Work) *problem.Problem {
	now := time.Now()
	reason, after := s.admission.admit(now, w.Account, conf.doc.Effective(now, w.Account, w.Kind))
	if reason == "" {
		return nil
	}
	return resultProblem(&model.Result{Key: w.Key, Outcome: model.OutcomeNotRun, Reason: reason, RetryAfter: after})
}

// settle offers the work until its outcome is known or the time runs out. For a
// job it is whether the job was recorded.
func (s *Server) settle(ctx context.Context, w *model.Work) model.Result {
	until := w.Deadline.Add(answerGrace)
	if w.Detached {
		until = w.Submitted.Add(acceptTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	checksum := sum(w)
	rep, none := ask[wire.Submit, submitReply](ctx, s, w.Key, wire.KindSubmit, func(e model.Epoch) wire.Submit {
		return wire.Submit{Work: *w, Sum: checksum, Epoch: e}
	})
	if none != nil {
		return model.Result{Key: w.Key, Outcome: none.Outcome, Reason: none.Reason, RetryAfter: none.RetryAfter}
	}
	return rep.Result
}

// answer tells the caller the outcome.
func (s *Server) answer(w http.ResponseWriter, work *model.Work, res *model.Result) {
	res.Key = work.Key
	switch {
	case work.Detached && res.Reason == model.ReasonNotRecorded:
		p := unavailable(res.Reason, "The job is not recorded yet and not promised; send it again under the same key.")
		p.Key, p.Outcome = string(work.Key), ""
		p.RetryAfter = max(res.RetryAfter, usualRetryAfter)
		p.Write(w)
	case res.Outcome == model.OutcomeUnknown:
		evUnknown.Log(context.Background(), s.opts.Logger, keyAttr(work.Key), reasonAttr(res.Reason))
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

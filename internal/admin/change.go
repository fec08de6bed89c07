package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/confsync"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/problem"
)

// maxRebases is how often a change without a stated base is made anew after
// losing a race.
const maxRebases = 5

// The states of a change.
const (
	stateAccepted = "accepted"
	statePending  = "pending"
)

// change is one attempt to change the configuration.
type change struct {
	who    auth.Identity
	reason string
	// base is the version that the author saw; 0 for whichever is in force.
	base config.Version
	// whole says that base counts also when it is 0.
	whole bool
	// force puts the document into force over whatever hosts have.
	force bool
	// build makes the new document; it must not write to the old one.
	build func(old *config.Document) (*config.Document, error)
}

// refusal is why a change was not made.
type refusal struct {
	ruling  audit.Ruling
	problem *problem.Problem
	// invalid holds the faults of the document, if that is why.
	invalid error
}

func refuse(status int, code, detail string) *refusal {
	return &refusal{ruling: audit.Refused, problem: problem.New(status, code, detail)}
}

// apply makes a change, enters a refusal in the audit trail, and answers.
func (s *Server) apply(w http.ResponseWriter, r *http.Request, c *change, waitSeconds int) {
	if !s.o.Trail.Room() {
		auditFull().Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.o.PublishTimeout)
	defer cancel()
	body, no := s.attempt(ctx, c)
	if no != nil {
		s.refused(w, r, c, no)
		return
	}
	mChanges.With(body.State).Inc()
	if body.State == statePending {
		s.write(w, r, http.StatusAccepted, body)
		return
	}
	if waitSeconds > 0 {
		body.Hosts = s.waitInForce(r.Context(), body.Version, waitSeconds)
	}
	s.write(w, r, http.StatusOK, body)
}

// attempt checks the change and publishes it, several times when others get in between.
func (s *Server) attempt(ctx context.Context, c *change) (*ChangedBody, *refusal) {
	if !c.who.MayOperate() {
		return nil, refuse(http.StatusForbidden, codeForbidden, "The token's role does not allow this call.")
	}
	if strings.TrimSpace(c.reason) == "" {
		return nil, refuse(http.StatusUnprocessableEntity, codeNoReason, "Each change needs a reason.")
	}
	if len(c.reason) > maxReasonBytes {
		c.reason = ""
		return nil, refuse(http.StatusUnprocessableEntity, codeLongReason, "A reason has at most 1000 bytes.")
	}
	if c.force {
		return s.attemptForce(ctx, c)
	}
	for range maxRebases {
		body, no := s.attemptOnce(ctx, c)
		if no == nil || no.ruling != audit.Conflict || c.whole || c.base != 0 {
			return body, no
		}
	}
	return nil, conflict("Others kept changing the configuration; try again.")
}

func (s *Server) attemptOnce(ctx context.Context, c *change) (*ChangedBody, *refusal) {
	var old *config.Document
	var version config.Version
	if cur := s.o.Configs.Current(); cur != nil {
		old, version = &cur.Document, cur.Version
	}
	if (c.whole || c.base != 0) && c.base != version {
		return nil, conflict(fmt.Sprintf("Based on version %d, but version %d is in force.", c.base, version))
	}
	doc, no := build(c, old)
	if no != nil {
		return nil, no
	}
	changes := config.Diff(old, doc)
	if len(changes) == 0 {
		return nil, refuse(http.StatusUnprocessableEntity, codeNothing, "The document is the one in force.")
	}
	rec := &settings.Record{
		ID: logclient.NewID(), Base: version, Author: c.who.Name, Reason: c.reason,
		At: s.o.Clock(), Change: settings.Between(old, doc),
	}
	return s.publish(ctx, rec, changes)
}

// build makes and checks the new document.
func build(c *change, old *config.Document) (*config.Document, *refusal) {
	doc, err := c.build(old)
	if err == nil {
		doc = doc.Canonical()
		err = config.Validate(doc)
	}
	if err == nil {
		return doc, nil
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return nil, &refusal{ruling: audit.Refused, problem: p}
	}
	no := refuse(http.StatusUnprocessableEntity, codeInvalidConfig, err.Error())
	no.invalid = err
	return nil, no
}

func (s *Server) publish(ctx context.Context, rec *settings.Record, changes []config.Change) (*ChangedBody, *refusal) {
	evChange.Log(ctx, s.o.Logger, slog.String("record", rec.ID), slog.String("author", rec.Author), slog.Int("changes", len(changes)))
	v, err := s.o.Configs.Publish(ctx, rec)
	body := &ChangedBody{ID: rec.ID, State: stateAccepted, Version: v.Version, Changes: changes}
	switch {
	case errors.Is(err, confsync.ErrPending):
		body.State, body.Version = statePending, rec.Base
		s.enterPending(ctx, rec, changes)
		return body, nil
	case err != nil:
		return nil, refuse(http.StatusServiceUnavailable, codeUnavailable, "The log did not take the change; it was not made. "+err.Error())
	case v.Ruling == settings.RulingConflict:
		no := conflict(v.Why)
		no.problem.Key = rec.ID
		return nil, no
	case v.Ruling != settings.RulingAccepted:
		return nil, refuse(http.StatusUnprocessableEntity, codeInvalidConfig, v.Why)
	}
	return body, nil
}

func conflict(detail string) *refusal {
	return &refusal{ruling: audit.Conflict, problem: problem.New(http.StatusConflict, codeConflict, detail)}
}

// refused enters the refusal in the trail and answers. A change that reached the
// stream is entered by whoever records its ruling.
func (s *Server) refused(w http.ResponseWriter, r *http.Request, c *change, no *refusal) {
	mChanges.With(string(no.ruling)).Inc()
	if no.problem.Key == "" && !s.enter(r.Context(), c, no) {
		auditFull().Write(w)
		return
	}
	if no.invalid != nil {
		writeInvalid(w, no.invalid)
		return
	}
	no.problem.Write(w)
}

// enterPending enters a change whose fate is open.
func (s *Server) enterPending(ctx context.Context, rec *settings.Record, changes []config.Change) {
	e := audit.Entry{
		ID: "pending-" + rec.ID, At: rec.At, Record: rec.ID, Author: rec.Author, Reason: rec.Reason,
		Ruling: audit.Pending, Base: rec.Base, Version: rec.Base,
	}
	e.SetChanges(changes)
	if err := s.o.Trail.Add(ctx, e); err != nil {
		evNoAudit.Log(ctx, s.o.Logger, slog.String("author", e.Author), slog.String("record", rec.ID), slog.Any("error", err))
	}
}

func auditFull() *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, codeAuditFull, "The audit trail can't take entries now; nothing was done.")
}

// enter reports whether the trail took the entry of a refusal.
func (s *Server) enter(ctx context.Context, c *change, no *refusal) bool {
	e := audit.Entry{
		ID: logclient.NewID(), At: s.o.Clock(), Author: c.who.Name, Reason: c.reason,
		Ruling: no.ruling, Why: audit.Truncate(no.problem.Code + ": " + no.problem.Detail), Base: c.base,
	}
	if cur := s.o.Configs.Current(); cur != nil {
		e.Version = cur.Version
	}
	if err := s.o.Trail.Add(ctx, e); err != nil {
		evNoAudit.Log(ctx, s.o.Logger, slog.String("author", e.Author), slog.String("why", e.Why), slog.Any("error", err))
		return false
	}
	return true
}

// identity gives the caller, which the middleware found.
func identity(r *http.Request) auth.Identity {
	who, _ := auth.FromContext(r.Context())
	return who
}

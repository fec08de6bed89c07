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

// maxRebases is how often a change whose request names no base version is
// attempted, as each attempt can conflict with a concurrent change.
const maxRebases = 5

// States of a change, as ChangedBody reports them.
const (
	stateAccepted = "accepted"
	statePending  = "pending"
)

// change is a requested change of the configuration.
type change struct {
	who    auth.Identity
	reason string
	// base is the version that the author based the change on; 0 means the version
	// in force.
	base config.Version
	// whole is true if the change replaces the whole document; base is then checked
	// even if it is 0.
	whole bool
	// force replaces the configuration whatever version the hosts have in force.
	force bool
	// build returns the new document; it must not modify the old one.
	build func(old *config.Document) (*config.Document, error)
}

// refusal is the reason why a change was not made.
type refusal struct {
	ruling  audit.Ruling
	problem *problem.Problem
	// invalid is the validation error of the document, if that is the reason.
	invalid error
}

func refuse(status int, code, detail string) *refusal {
	return &refusal{ruling: audit.Refused, problem: problem.New(status, code, detail)}
}

// apply makes a change, or adds its refusal to the audit trail, and writes the
// response.
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

// attempt checks the change and publishes it. If the request named no base
// version, it retries after a conflict with a concurrent change.
func (s *Server) attempt(ctx context.Context, c *change) (*ChangedBody, *refusal) {
	if !c.who.MayOperate() {
		return nil, refuse(http.StatusForbidden, codeForbidden, "The token's role does not allow this call.")
	}
	if strings.TrimSpace(c.reason) == "" {
		return nil, refuse(http.StatusUnprocessableEntity, codeNoReason, "Each change needs a reason.")
	}
	if len(c.reason) > maxReasonBytes {
		c.reason = ""
		return nil, refuse(http.StatusUnprocessableEntity, codeLongReason, "A reason must have at most 1000 bytes.")
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
	return nil, conflict("Every attempt conflicted with a concurrent change of the configuration; try again.")
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
		return nil, refuse(http.StatusUnprocessableEntity, codeNothing, "The document is the same as the one in force.")
	}
	rec := &settings.Record{
		ID: logclient.NewID(), Base: version, Author: c.who.Name, Reason: c.reason,
		At: s.o.Clock(), Change: settings.Between(old, doc),
	}
	return s.publish(ctx, rec, changes)
}

// build builds the new document and validates it.
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
		return nil, refuse(http.StatusServiceUnavailable, codeUnavailable, "The log did not accept the change; it was not made. "+err.Error())
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

// refused adds the refusal to the audit trail and writes the response. It
// adds no entry if the problem's key is set to a record's id: the log has the record,
// and audit.Recorder adds the entry for its ruling.
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

// enterPending adds an audit entry for a change whose outcome is not known.
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
	return problem.New(http.StatusServiceUnavailable, codeAuditFull, "The audit trail can't accept entries now; nothing was done.")
}

// enter adds a refusal to the audit trail and reports whether that succeeded.
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

// identity returns the caller, as auth.Middleware authenticated it.
func identity(r *http.Request) auth.Identity {
	who, _ := auth.FromContext(r.Context())
	return who
}

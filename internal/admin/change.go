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

// States of a change, as ChangeResponse reports them.
const (
	stateAccepted = "accepted"
	statePending  = "pending"
)

// change is a requested change of the configuration.
type change struct {
	caller auth.Identity
	reason string
	// base is the version that the author based the change on; 0 means the version
	// in force.
	base config.Version
	// replacesDocument is true if the change replaces the whole document; base is
	// then checked even if it is 0.
	replacesDocument bool
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
	if !s.opts.Trail.Room() {
		auditFull().Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.opts.PublishTimeout)
	defer cancel()
	body, refused := s.attempt(ctx, c)
	if refused != nil {
		s.writeRefusal(w, r, c, refused)
		return
	}
	mChanges.With(body.State).Inc()
	if body.State == statePending {
		s.writeJSON(w, r, http.StatusAccepted, body)
		return
	}
	if waitSeconds > 0 {
		body.Hosts = s.waitUntilInForce(r.Context(), body.Version, waitSeconds)
	}
	s.writeJSON(w, r, http.StatusOK, body)
}

// attempt checks the change and publishes it. If the request named no base
// version, it retries after a conflict with a concurrent change.
func (s *Server) attempt(ctx context.Context, c *change) (*ChangeResponse, *refusal) {
	if !c.caller.MayOperate() {
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
		body, refused := s.attemptOnce(ctx, c)
		if refused == nil || refused.ruling != audit.Conflict || c.replacesDocument || c.base != 0 {
			return body, refused
		}
	}
	return nil, conflict("Every attempt conflicted with a concurrent change of the configuration; try again.")
}

func (s *Server) attemptOnce(ctx context.Context, c *change) (*ChangeResponse, *refusal) {
	var old *config.Document
	var version config.Version
	if cur := s.opts.Configs.Current(); cur != nil {
		old, version = &cur.Document, cur.Version
	}
	if (c.replacesDocument || c.base != 0) && c.base != version {
		return nil, conflict(fmt.Sprintf("Based on version %d, but version %d is in force.", c.base, version))
	}
	doc, refused := buildDocument(c, old)
	if refused != nil {
		return nil, refused
	}
	changes := config.Diff(old, doc)
	if len(changes) == 0 {
		return nil, refuse(http.StatusUnprocessableEntity, codeChangesNothing, "The document is the same as the one in force.")
	}
	rec := &settings.Record{
		ID: logclient.NewID(), Base: version, Author: c.caller.Name, Reason: c.reason,
		At: s.opts.Clock(), Change: settings.Between(old, doc),
	}
	return s.publish(ctx, rec, changes)
}

// buildDocument builds the new document and validates it.
func buildDocument(c *change, old *config.Document) (*config.Document, *refusal) {
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
	refused := refuse(http.StatusUnprocessableEntity, codeInvalidConfig, err.Error())
	refused.invalid = err
	return nil, refused
}

func (s *Server) publish(ctx context.Context, rec *settings.Record, changes []config.Change) (*ChangeResponse, *refusal) {
	evChangeRequested.Log(ctx, s.opts.Logger, slog.String("record", rec.ID), slog.String("author", rec.Author), slog.Int("changes", len(changes)))
	v, err := s.opts.Configs.Publish(ctx, rec)
	body := &ChangeResponse{ID: rec.ID, State: stateAccepted, Version: v.Version, Changes: changes}
	switch {
	case errors.Is(err, confsync.ErrPending):
		body.State, body.Version = statePending, rec.Base
		s.auditPending(ctx, rec, changes)
		return body, nil
	case err != nil:
		return nil, refuse(http.StatusServiceUnavailable, codeLogUnavailable, "The log did not accept the change; it was not made. "+err.Error())
	case v.Ruling == settings.RulingConflict:
		refused := conflict(v.Why)
		refused.problem.Key = rec.ID
		return nil, refused
	case v.Ruling != settings.RulingAccepted:
		return nil, refuse(http.StatusUnprocessableEntity, codeInvalidConfig, v.Why)
	}
	return body, nil
}

func conflict(detail string) *refusal {
	return &refusal{ruling: audit.Conflict, problem: problem.New(http.StatusConflict, codeConflict, detail)}
}

// writeRefusal adds the refusal to the audit trail and writes the response. It
// adds no entry if the problem's key is set to a record's id: the log has the record,
// and audit.Recorder adds the entry for its ruling.
func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, c *change, refused *refusal) {
	mChanges.With(string(refused.ruling)).Inc()
	if refused.problem.Key == "" && !s.auditRefusal(r.Context(), c, refused) {
		auditFull().Write(w)
		return
	}
	if refused.invalid != nil {
		writeInvalid(w, refused.invalid)
		return
	}
	refused.problem.Write(w)
}

// auditPending adds an audit entry for a change whose outcome is not known.
func (s *Server) auditPending(ctx context.Context, rec *settings.Record, changes []config.Change) {
	e := audit.Entry{
		ID: "pending-" + rec.ID, At: rec.At, Record: rec.ID, Author: rec.Author, Reason: rec.Reason,
		Ruling: audit.Pending, Base: rec.Base, Version: rec.Base,
	}
	e.SetChanges(changes)
	if err := s.opts.Trail.Add(ctx, e); err != nil {
		evAuditFailed.Log(ctx, s.opts.Logger, slog.String("author", e.Author), slog.String("record", rec.ID), slog.Any("error", err))
	}
}

func auditFull() *problem.Problem {
	return problem.New(http.StatusServiceUnavailable, codeAuditFull, "The audit trail can't accept entries now; nothing was done.")
}

// auditRefusal adds a refusal to the audit trail and reports whether that succeeded.
func (s *Server) auditRefusal(ctx context.Context, c *change, refused *refusal) bool {
	e := audit.Entry{
		ID: logclient.NewID(), At: s.opts.Clock(), Author: c.caller.Name, Reason: c.reason,
		Ruling: refused.ruling, Why: audit.Truncate(refused.problem.Code + ": " + refused.problem.Detail), Base: c.base,
	}
	if cur := s.opts.Configs.Current(); cur != nil {
		e.Version = cur.Version
	}
	if err := s.opts.Trail.Add(ctx, e); err != nil {
		evAuditFailed.Log(ctx, s.opts.Logger, slog.String("author", e.Author), slog.String("why", e.Why), slog.Any("error", err))
		return false
	}
	return true
}

// identity returns the caller, as auth.Middleware authenticated it.
func identity(r *http.Request) auth.Identity {
	who, _ := auth.FromContext(r.Context())
	return who
}

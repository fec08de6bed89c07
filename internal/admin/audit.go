package admin

import (
	"net/http"
	"net/url"
	"time"

	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/problem"
)

func (s *Server) showAudit(w http.ResponseWriter, r *http.Request) {
	limit, p := parseLimit(r)
	if p != nil {
		p.Write(w)
		return
	}
	f, p := parseFilter(r.URL.Query())
	if p != nil {
		p.Write(w)
		return
	}
	f.Limit = limit
	s.writeJSON(w, r, http.StatusOK, AuditResponse{Entries: s.opts.Trail.Find(f)})
}

func parseFilter(q url.Values) (audit.Filter, *problem.Problem) {
	f := audit.Filter{Author: q.Get("author"), Ruling: audit.Ruling(q.Get("ruling")), Path: q.Get("path")}
	switch f.Ruling {
	case "", audit.Accepted, audit.Conflict, audit.Refused, audit.Pending:
	default:
		return f, problem.New(http.StatusBadRequest, codeInvalidQuery, "The ruling must be one of accepted, conflict, refused and pending.")
	}
	for name, field := range map[string]*time.Time{"since": &f.Since, "until": &f.Until} {
		if q.Get(name) == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, q.Get(name))
		if err != nil {
			return f, problem.New(http.StatusBadRequest, codeInvalidQuery, "The times since and until must have the form 2006-01-02T15:04:05Z.")
		}
		*field = at
	}
	return f, nil
}

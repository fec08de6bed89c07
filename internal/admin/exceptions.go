package admin

import (
	"fmt"
	"net/http"
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/problem"
)

func (s *Server) listExceptions(w http.ResponseWriter, r *http.Request) {
	cur := s.current(w)
	if cur == nil {
		return
	}
	out := ExceptionsResponse{Version: cur.Version, Exceptions: []config.Exception{}}
	out.Exceptions = append(out.Exceptions, cur.Document.Exceptions...)
	s.writeJSON(w, r, http.StatusOK, out)
}

func (s *Server) addException(w http.ResponseWriter, r *http.Request) {
	body, p := readBody[ExceptionRequest](w, r, maxSmallBody)
	if p != nil {
		p.Write(w)
		return
	}
	s.apply(w, r, &change{
		caller: identity(r), reason: body.Exception.Reason, base: body.Base,
		build: withException(body.Exception),
	}, body.WaitSeconds)
}

func (s *Server) removeException(w http.ResponseWriter, r *http.Request) {
	s.apply(w, r, &change{
		caller: identity(r), reason: r.URL.Query().Get("reason"),
		build: withoutException(r.PathValue("id")),
	}, 0)
}

// withException returns a function that adds an exception or replaces the one with
// the same id.
func withException(e config.Exception) func(*config.Document) (*config.Document, error) {
	return func(old *config.Document) (*config.Document, error) {
		if old == nil {
			return nil, errUnconfigured()
		}
		out := *old
		out.Exceptions = slices.DeleteFunc(slices.Clone(old.Exceptions), func(x config.Exception) bool { return x.ID == e.ID })
		out.Exceptions = append(out.Exceptions, e)
		return &out, nil
	}
}

// withoutException returns a function that removes the exception with the given id.
func withoutException(id string) func(*config.Document) (*config.Document, error) {
	return func(old *config.Document) (*config.Document, error) {
		if old == nil {
			return nil, errUnconfigured()
		}
		if old.Exception(id) == nil {
			return nil, problem.New(http.StatusNotFound, codeNotFound, fmt.Sprintf("There is no exception %q.", id))
		}
		out := *old
		out.Exceptions = slices.DeleteFunc(slices.Clone(old.Exceptions), func(x config.Exception) bool { return x.ID == id })
		return &out, nil
	}
}

func errUnconfigured() *problem.Problem {
	return problem.New(http.StatusNotFound, codeUnconfigured, "No configuration is in force on this host yet.")
}

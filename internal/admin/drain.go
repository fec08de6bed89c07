package admin

import (
	"fmt"
	"net/http"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/problem"
)

// drain adds an exception that keeps new work off a worker, cell or data centre.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	body, p := readBody[DrainRequest](w, r, maxSmallBody)
	if p != nil {
		p.Write(w)
		return
	}
	on := true
	e := config.Exception{
		ID: body.exceptionID(), Reason: body.Reason, Expires: body.Expires,
		Worker: body.Worker, Cell: body.Cell, DataCentre: body.DataCentre, Drain: &on,
	}
	s.apply(w, r, &change{caller: identity(r), reason: body.Reason, build: requireOneTarget(body, withException(e))}, body.WaitSeconds)
}

// undrain removes the exception that drain added.
func (s *Server) undrain(w http.ResponseWriter, r *http.Request) {
	body, p := readBody[DrainRequest](w, r, maxSmallBody)
	if p != nil {
		p.Write(w)
		return
	}
	s.apply(w, r, &change{caller: identity(r), reason: body.Reason, build: requireOneTarget(body, withoutException(body.exceptionID()))}, body.WaitSeconds)
}

// exceptionID returns the id of the drain exception. It depends on the target
// alone, so that each worker, cell or data centre has at most one.
func (b *DrainRequest) exceptionID() string {
	switch {
	case b.Worker != "":
		return fmt.Sprintf("drain-worker-%s", b.Worker)
	case b.Cell != "":
		return fmt.Sprintf("drain-cell-%s", b.Cell)
	}
	return fmt.Sprintf("drain-data-centre-%s", b.DataCentre)
}

// requireOneTarget returns build if the body names exactly one worker, cell or data
// centre, or else a function that fails.
func requireOneTarget(b *DrainRequest, build func(*config.Document) (*config.Document, error)) func(*config.Document) (*config.Document, error) {
	n := 0
	for _, name := range []string{string(b.Worker), string(b.Cell), string(b.DataCentre)} {
		if name != "" {
			n++
		}
	}
	if n == 1 {
		return build
	}
	return func(*config.Document) (*config.Document, error) {
		return nil, problem.New(http.StatusUnprocessableEntity, codeInvalidBody, "Name exactly one of worker, cell and data_centre.")
	}
}

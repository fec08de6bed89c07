package admin

import (
	"net/http"

	"coltsfootmux/internal/auth"
)

// Server serves the administration API.
type Server struct {
	opts Options
	mux  *http.ServeMux
	// parseSlot is a semaphore of capacity 1: only one document is read and parsed at a
	// time, because a large one takes much memory.
	parseSlot chan struct{}
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{opts: o.withDefaults(), mux: http.NewServeMux(), parseSlot: make(chan struct{}, 1)}
	s.routes()
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// routes registers the handlers, each with the check of who may call it. Handlers
// that change something check the role themselves, because a refusal must be added
// to the audit trail.
func (s *Server) routes() {
	view := auth.Identity.MayViewAll
	s.handle("GET /v1/config", view, s.showConfig)
	s.handle("POST /v1/config/validate", view, s.validateConfig)
	s.handle("POST /v1/config/diff", view, s.diffConfig)
	s.handle("GET /v1/config/hosts", view, s.showHosts)
	s.handle("POST /v1/config", nil, s.publishConfig)
	s.handle("GET /v1/exceptions", view, s.listExceptions)
	s.handle("POST /v1/exceptions", nil, s.addException)
	s.handle("DELETE /v1/exceptions/{id}", nil, s.removeException)
	s.handle("POST /v1/drain", nil, s.drain)
	s.handle("POST /v1/undrain", nil, s.undrain)
	s.handle("PUT /v1/cells/{cell}/workers/{worker}", nil, s.putWorker)
	s.handle("DELETE /v1/cells/{cell}/workers/{worker}", nil, s.removeWorker)
	s.handle("GET /v1/status/accounts", view, s.showAccounts)
	s.handle("GET /v1/status/cells", view, s.showCells)
	s.handle("GET /v1/status/workers", view, s.showWorkers)
	s.handle("GET /v1/status/jobs", nil, s.showJobs)
	s.handle("POST /v1/jobs/{key}/cancel", nil, s.cancelJob)
	s.handle("GET /v1/audit", view, s.showAudit)
}

func (s *Server) handle(pattern string, allowed func(auth.Identity) bool, f http.HandlerFunc) {
	s.mux.Handle(pattern, auth.Middleware(s.opts.Auth, s.opts.Logger, allowed, f))
}

package entry

import (
	"net/http"
	"time"
)

// responseWriter closes the connection after the response while the host drains,
// and sets a deadline for writing the response.
type responseWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status and the headers.
func (w *responseWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response's body.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(b)
}

// start prepares the connection before the first write of a response.
func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	deadline := time.Now().Add(w.server.opts.WriteTimeout)
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(deadline)
}
